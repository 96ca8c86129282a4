// Command review-3 plays the scripts of the third review. It is started from the root of the repository.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errCannotRun means that a case could not be played.
var errCannotRun = errors.New("the case could not run")

var cases = map[string]func(s *record, isDisturbed bool) (violations []string, err error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	play, found := cases[os.Args[1]]
	if !found || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "unknown case or no record")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	isDisturbed := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disturbed: %t", os.Args[1], isDisturbed)
	time.AfterFunc(115*time.Second, func() { rec.printf("the case took too long"); os.Exit(2) })
	violations, err := play(rec, isDisturbed)
	for _, v := range violations {
		rec.printf("BROKEN: %s", v)
	}
	switch {
	case len(violations) > 0:
		os.Exit(1)
	case err != nil:
		rec.printf("could not run: %v", err)
		os.Exit(2)
	}
	rec.printf("the rule held")
}

// exampleConfig is a configuration like that of the site's first services.
func exampleConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "order-brief", "host": "wuny96.example", "pathPrefix": "/brief/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "priority": 1, "service": "brush-model", "attempts": 1, "gapTargetMs": 300},
			{"name": "colour-ask", "host": "wuny96.example", "pathPrefix": "/ask/", "kind": "streaming", "timeoutMs": 3000, "sloMs": 500, "priority": 0, "service": "brush-model", "attempts": 2, "resumable": true, "gapTargetMs": 300},
			{"name": "batch-claim", "host": "wuny96.example", "pathPrefix": "/claim/", "kind": "non_idempotent", "timeoutMs": 1000, "sloMs": 150, "priority": 2, "service": "order-desk", "attempts": 1},
			{"name": "stock-look", "host": "wuny96.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 1000, "sloMs": 150, "priority": 2, "service": "order-desk", "attempts": 2},
		},
		"services": []map[string]any{{"name": "brush-model", "maxConns": 370, "engine": map[string]any{"slots": 64}}, {"name": "order-desk", "maxConns": 110}},
		"limits":   map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "huka270", "apiKeys": []string{"key1"}}},
	}
}
