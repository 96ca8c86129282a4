// Command rudderctl is the command-line client for operators. It reads the configuration of relayed traffic in the form of the
// Pintura Duwende platform.
package main

import (
	"os"

	"chestnutrudder.example/platform"
	"chestnutrudder.example/rudder/command"
)

func main() {
	form := command.ConfigForm{
		Decode: platform.DecodeConfigFile, ReadInForce: platform.ReadConfigInForce,
		FieldName: platform.ConfigFieldName, KindName: platform.ConfigKindName,
	}
	os.Exit(command.Run(os.Args[1:], form, os.Stdin, os.Stdout, os.Stderr))
}
