// Package users describes the clusters of the two users of the system at their present sizes. The commands that run a
// cluster and the integration tests start these clusters.
package users

import (
	"path/filepath"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/process"
)

// User is a company that uses the system, with the cluster that it runs.
type User struct {
	Name              string
	Region            string
	FailureDomains    []string
	Model             string
	Token             string   // bearer token of the largest organisation
	Tokens            []string // bearer tokens of all organisations
	HostGroups        []cloud.Group
	IdempotentCall    string // service and path of a call that may be repeated
	NonIdempotentCall string // service and path of a call that may not be repeated
}

// Duwende returns Pintura Duwende Holdings: 18 model runners and 3 order-service runners.
func Duwende() User {
	u := User{
		Name:              "duwende",
		Region:            "luzon",
		FailureDomains:    []string{"marikina", "pasig", "antipolo"},
		Model:             "gnome-briefs",
		IdempotentCall:    "orders/stock",
		NonIdempotentCall: "orders/deposits",
	}
	u.setTokens("duwende-luzon", "workshop-laguna", "workshop-bulacan", "workshop-rizal", "workshop-quezon")
	u.setHostGroups("gnome-briefs", "gnome-briefs-1", "order-service", 6)
	return u
}

// Zlato returns Spojené Zlato: 9 model runners and 3 commission-service runners.
func Zlato() User {
	u := User{
		Name:              "zlato",
		Region:            "sk-stred",
		FailureDomains:    []string{"kremnica", "zvolen", "banska"},
		Model:             "restoration-dossiers",
		IdempotentCall:    "commissions/catalogue",
		NonIdempotentCall: "commissions/commissions",
	}
	u.setTokens("zlato-members", "zlato-apprentices", "parishes-liptov", "museum-zvolen", "households")
	u.setHostGroups("restoration-dossiers", "restoration-dossiers-1", "commission-service", 3)
	return u
}

// ByName returns the user with a name. An unknown name is an error.
func ByName(name string) (User, error) {
	for _, u := range []User{Duwende(), Zlato()} {
		if u.Name == name {
			return u, nil
		}
	}
	return User{}, errors.Errorf("user: %q, allowed: duwende, zlato", name)
}

// setTokens sets the example tokens of the organisations, the largest of which comes first.
func (u *User) setTokens(organisations ...string) {
	for _, o := range organisations {
		u.Tokens = append(u.Tokens, "example-token-"+o)
	}
	u.Token = u.Tokens[0]
}

// setHostGroups adds runnersPerDomain model runners and one service runner in each failure domain. Two of three model
// runners are reclaimable, as at the size that the system is designed for.
func (u *User) setHostGroups(deployment, modelVersion, service string, runnersPerDomain int) {
	for _, failureDomain := range u.FailureDomains {
		reclaimable := runnersPerDomain * 2 / 3
		u.HostGroups = append(u.HostGroups,
			cloud.Group{
				Deployment: deployment, Backend: object.BackendModel, ModelVersion: modelVersion, FailureDomain: failureDomain,
				Class: "gpu-small", Reclaimable: true, PriceMicrosPerHour: 900_000, Count: reclaimable,
			},
			cloud.Group{
				Deployment: deployment, Backend: object.BackendModel, ModelVersion: modelVersion, FailureDomain: failureDomain,
				Class: "gpu-small", PriceMicrosPerHour: 2_500_000, Count: runnersPerDomain - reclaimable,
			},
			cloud.Group{
				Deployment: service, Backend: object.BackendService, FailureDomain: failureDomain,
				Class: "cpu-small", PriceMicrosPerHour: 100_000, Count: 1,
			},
		)
	}
}

// BackendServerCount returns the number of model runners and service runners.
func (u User) BackendServerCount() int {
	count := 0
	for _, g := range u.HostGroups {
		count += g.Count
	}
	return count
}

// ClusterConfig returns the configuration of a cluster with nodesPerDomain nodes in each failure domain. The objects are in
// examplesDir, in a subdirectory for each user.
func (u User) ClusterConfig(binDir, logDir, examplesDir string, nodesPerDomain int) process.ClusterConfig {
	return process.ClusterConfig{
		BinDir:         binDir,
		LogDir:         logDir,
		Region:         u.Region,
		FailureDomains: u.FailureDomains,
		NodesPerDomain: nodesPerDomain,
		HostGroups:     u.HostGroups,
		ObjectFiles:    []string{filepath.Join(examplesDir, u.Name, "objects.yaml")},
	}
}
