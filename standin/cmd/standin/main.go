// Command standin runs one stand-in for an external system: the object API, the cloud or the weight store.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/weights"
)

type objectAPIArguments struct {
	Address string `arg:"--address,required" help:"IP:port to listen on"`
}

type cloudArguments struct {
	Address string `arg:"--address,required" help:"IP:port to listen on"`
	Groups  string `arg:"--groups,required" help:"JSON list of host groups to start with"`
	Engine  string `arg:"--engine" default:"{}" help:"JSON timing model of the engines, over the default"`
}

type weightsArguments struct {
	Address  string `arg:"--address,required" help:"IP:port to listen on"`
	Settings string `arg:"--settings" default:"{}" help:"JSON settings of the weight store"`
}

type arguments struct {
	ObjectAPI *objectAPIArguments `arg:"subcommand:objectapi" help:"object API"`
	Cloud     *cloudArguments     `arg:"subcommand:cloud" help:"cloud API, host list, weight store and hosts"`
	Weights   *weightsArguments   `arg:"subcommand:weights" help:"weight store on its own"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.ObjectAPI != nil:
		err = serve(a.ObjectAPI.Address, objectapi.NewServer().Handler())
	case a.Cloud != nil:
		err = runCloud(*a.Cloud)
	case a.Weights != nil:
		err = runWeights(*a.Weights)
	default:
		parser.Fail("a stand-in must be named")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func runCloud(a cloudArguments) error {
	var groups []cloud.Group
	if err := json.Unmarshal([]byte(a.Groups), &groups); err != nil {
		return errors.Wrap(err, "decode --groups")
	}
	config := engine.DefaultConfig()
	if err := json.Unmarshal([]byte(a.Engine), &config); err != nil {
		return errors.Wrap(err, "decode --engine")
	}
	c := cloud.New(config)
	c.BaseURL = "http://" + a.Address
	for _, g := range groups {
		if err := c.AddGroup(g); err != nil {
			return err
		}
	}
	return serve(a.Address, c.Handler())
}

func runWeights(a weightsArguments) error {
	var settings weights.Settings
	if err := json.Unmarshal([]byte(a.Settings), &settings); err != nil {
		return errors.Wrap(err, "decode --settings")
	}
	return serve(a.Address, weights.NewStore(settings).Handler())
}

func serve(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	return server.ListenAndServe()
}
