// Command cases runs the scripts of the independent review: "cases run NAME FOLDER" runs one and writes record.txt into the
// folder; "cases runner ID VERSION OPTIONS" is the runner stand-in that the scripts start. Exit status 0 means that the rule held, 1 that it
// was broken, 2 that the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases holds the scripts by name. Each returns descriptions of how the rule was broken.
var cases = map[string]func(d *deployment) ([]string, error){
	"reclaimed-answer": reclaimedAnswer,
	"reported-twice":   reportedTwice,
	"revoked-key":      revokedKey,
	"mixed-versions":   mixedVersions,
	"cut-event":        cutEvent,
}

func main() {
	switch {
	case len(os.Args) == 5 && os.Args[1] == "runner":
		if err := runRunner(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, "runner:", err)
			os.Exit(2)
		}
	case len(os.Args) == 4 && os.Args[1] == "run" && cases[os.Args[2]] != nil:
		os.Exit(runCase(os.Args[2], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, "usage: cases run NAME FOLDER | cases runner ID VERSION OPTIONS")
		os.Exit(2)
	}
}

func runCase(name, folder string) int {
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return 2
	}
	defer d.close()
	broken, err := cases[name](d)
	var unable errCannotRun
	switch {
	case errors.As(err, &unable) || err != nil:
		d.record.linef("the case could not run: %v", err)
		fmt.Println(name+": could not run:", err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			d.record.linef("BROKEN: %s", b)
			fmt.Println(name+": BROKEN:", b)
		}
		return 1
	}
	d.record.linef("the rule held")
	fmt.Println(name + ": the rule held")
	return 0
}
