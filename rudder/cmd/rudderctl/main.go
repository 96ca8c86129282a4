// Command rudderctl is the operators' client.
package main

import (
	"os"

	"chestnutrudder.example/rudder/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
