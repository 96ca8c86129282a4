// Command review-cases-2 runs the cases of the second review that cannot be put as a day of the bench. Each starts nodes as processes
// before stand-ins of the platform, the runners and the clients, which run in this process. It exits with 1 if the rule of the case
// was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each writes its record to a folder and reports whether the rule was broken.
var cases = map[string]func(folder string) (isBroken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE FOLDER")
		os.Exit(2)
	}
	isBroken, err := cases[os.Args[1]](os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "review-cases-2:", err)
		os.Exit(2)
	case isBroken:
		os.Exit(1)
	}
}
