package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"chestnutrudder.example/standin/cloud"
)

// variant is a build and a configuration of the system.
type variant struct {
	name         string
	binDir       string
	examples     string
	nodeArgs     []string
	adjustGroups func([]cloud.Group) []cloud.Group // nil leaves the groups of the user
	isBaseline   bool                              // measured in the core scenarios only
}

// allVariants builds the earlier revision, if it is to be measured, and returns all variants and a function that cleans up.
func allVariants(a arguments) ([]variant, func(), error) {
	variants := []variant{{name: "this version", binDir: a.BinDir, examples: a.Examples}}
	cleanUp := func() {}
	if !a.NoPrevious && !a.Quick {
		previous, remove, err := buildPrevious(a)
		if err != nil {
			return nil, remove, err
		}
		cleanUp = remove
		variants = append(variants, previous)
	}
	for _, b := range []variant{
		{name: "round-robin", nodeArgs: []string{"--routing", "round-robin"}},
		{name: "least-loaded", nodeArgs: []string{"--routing", "least-loaded"}},
		{name: "on-demand", nodeArgs: []string{"--capacity", "on-demand"}, adjustGroups: onDemandOnly},
	} {
		b.binDir, b.examples, b.isBaseline = a.BinDir, a.Examples, true
		variants = append(variants, b)
	}
	return variants, cleanUp, nil
}

// isSelected reports whether the arguments select a variant in a scenario.
func isSelected(a arguments, s scenario, v variant) bool {
	switch {
	case len(a.Scenarios) > 0 && !slices.Contains(a.Scenarios, s.name):
		return false
	case len(a.Variants) > 0 && !slices.Contains(a.Variants, v.name):
		return false
	case a.Quick:
		return s.isCore && v.name == "this version"
	default:
		return s.isCore || !v.isBaseline
	}
}

// buildPrevious builds the daemon and the operator's command-line client of an earlier revision in a worktree of its own,
// and returns the variant and a function that removes the worktree. The stand-ins are those of this version, so that both
// versions run in the same environment.
func buildPrevious(a arguments) (variant, func(), error) {
	dir, err := os.MkdirTemp("", "chestnutrudder-previous-")
	if err != nil {
		return variant{}, func() {}, err
	}
	worktree := filepath.Join(dir, "tree")
	removeWorktree := func() {
		_ = exec.Command("git", "worktree", "remove", "--force", worktree).Run()
		_ = os.RemoveAll(dir)
	}
	if out, err := exec.Command("git", "worktree", "add", "--detach", worktree, a.Previous).CombinedOutput(); err != nil {
		return variant{}, removeWorktree, errors.Wrapf(err, "check out %s: %s", a.Previous, out)
	}
	binDir := filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", binDir+"/", "./rudder/cmd/rudderd", "./rudder/cmd/rudderctl")
	build.Dir = worktree
	if out, err := build.CombinedOutput(); err != nil {
		return variant{}, removeWorktree, errors.Wrapf(err, "build %s: %s", a.Previous, out)
	}
	standinPath, err := filepath.Abs(filepath.Join(a.BinDir, "standin"))
	if err == nil {
		err = os.Symlink(standinPath, filepath.Join(binDir, "standin"))
	}
	return variant{name: "previous", binDir: binDir, examples: filepath.Join(worktree, "examples")}, removeWorktree, err
}

// onDemandOnly replaces reclaimable hosts by on-demand ones, at the price in the same failure domain and class.
func onDemandOnly(groups []cloud.Group) []cloud.Group {
	prices := map[string]int64{}
	for _, g := range groups {
		if !g.Reclaimable {
			prices[g.FailureDomain+"/"+g.Class] = g.PriceMicrosPerHour
		}
	}
	converted := slices.Clone(groups)
	for i, g := range converted {
		if g.Reclaimable {
			converted[i].Reclaimable = false
			converted[i].PriceMicrosPerHour = prices[g.FailureDomain+"/"+g.Class]
		}
	}
	return converted
}
