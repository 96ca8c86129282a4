package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

func init() { cases["last-tenant-removed"] = playLastTenantRemoved }

// playLastTenantRemoved: the operator takes the key of the only tenant away by a version of the configuration without the tenant.
func playLastTenantRemoved(rec *record, isDisturbed bool) ([]string, error) {
	const revokeBound, requests = 5 * time.Second, 18
	s, err := startSystem(rec, deployment{nodes: 9, config: exampleConfig()})
	if err != nil {
		return nil, err
	}
	defer s.close()
	for i, zone := range s.zones {
		r, err := s.startRunner(fmt.Sprintf("i-%d", i), "order-desk", zone, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.register(r, "ready")
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	// Every third request bears a key that no configuration has ever held.
	keys := []string{"key1", "key1", "never-held"}
	sendAll := func(name string) []answer {
		return s.sendAll(requests, func(i int) (*nodeProcess, request) {
			return s.nodes[i%len(s.nodes)], request{method: "POST", path: "/claim/x", id: fmt.Sprintf("%s-%d", name, i), deadline: time.Second, body: "deposit", key: keys[i%len(keys)]}
		}, func() {})
	}
	checkBefore := func(answers []answer) error {
		for i, a := range answers {
			if isHeld := keys[i%len(keys)] == "key1"; isHeld && a.status != http.StatusOK || !isHeld && a.status != http.StatusUnauthorized {
				return errors.Wrapf(errCannotRun, "the key %s while the tenant has its key: %s", keys[i%len(keys)], a)
			}
		}
		return nil
	}
	if err := checkBefore(sendAll("before")); err != nil {
		return nil, err
	}
	config := exampleConfig()
	config["version"] = 8
	if isDisturbed {
		config["tenants"] = []map[string]any{}
	}
	s.store.Set("config", "main", config)
	acknowledgedAt := time.Now()
	rec.printf("the store has acknowledged version 8 of the configuration, with the tenants %v", config["tenants"])
	time.Sleep(revokeBound + time.Second)
	var violations []string
	answers := sendAll("after")
	if !isDisturbed {
		return nil, checkBefore(answers)
	}
	for i, a := range answers {
		switch {
		case a.status != http.StatusOK:
		case keys[i%len(keys)] == "key1":
			violations = append(violations, fmt.Sprintf("CONFIG: request %s ran, sent with the key %d ms after the acknowledgement of the configuration that took the key away", a.id, a.sentAt.Sub(acknowledgedAt).Milliseconds()))
		default:
			violations = append(violations, fmt.Sprintf("ROUTE: request %s ran, sent with a key that no configuration has held", a.id))
		}
	}
	return violations, nil
}
