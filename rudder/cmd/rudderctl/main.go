// Command rudderctl is the command-line client for operators.
package main

import (
	"os"

	"chestnutrudder.example/rudder/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
