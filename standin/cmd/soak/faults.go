package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/caller"
	standincloud "chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/service"
)

func nothing() {}

func allFaults() []fault {
	return []fault{
		{"node killed", killNode},
		{"node paused", pauseNode},
		{"host reclaimed", reclaimHost},
		{"domain reclaimed", reclaimDomain},
		{"host crashed", crashHost},
		{"runner crashed", crashRunner},
		{"runner frozen", freezeRunner},
		{"starts refused", settings(map[string]any{"refusals": []standincloud.RefusalRule{{}}}, map[string]any{"refusals": []standincloud.RefusalRule{}})},
		{"host list lags", settings(map[string]any{"list_lag_ms": 4000}, map[string]any{"list_lag_ms": 0})},
		{"cloud API down", settings(map[string]any{"down": true}, map[string]any{"down": false})},
		{"object API down", objectAPI(objectapi.Faults{Down: true})},
		{"object API slow", objectAPI(objectapi.Faults{DelayMillis: 300, JitterMillis: 200})},
		{"object API loses", objectAPI(objectapi.Faults{LoseAnswers: 4})},
		{"object API partly down", objectAPI(objectapi.Faults{FailShare: 0.3})},
		{"engine chunks doubled", engines(engine.Faults{RepeatEveryChunks: 3, StaleEveryChunks: 4})},
		{"engine chunks late", engines(engine.Faults{StreamDelayMillis: 8, StaleEveryChunks: 5, LoadLagMillis: 2000})},
		{"engine stream silent", silentStreams},
		{"service loses answers", services(service.Faults{DropResponses: 2})},
		{"service crashes", services(service.Faults{CrashOnCalls: 1})},
		{"service refuses", services(service.Faults{RefuseCalls: true})},
		{"peer links silent", silencePeer},
		{"object API links silent", silenceObjectAPI},
		{"operators race", raceOperators},
		{"crashing request", crashingRequest},
	}
}

// killNode kills a node and starts another one in its failure domain later.
func killNode(i *injector) (func(), bool) {
	n, ok := i.node()
	if !ok {
		return nothing, false
	}
	n.Kill()
	i.down[n.Name] = true
	return func() {
		if _, err := i.cluster.StartNode(n.FailureDomain); err != nil {
			i.log("start node: " + err.Error())
		}
	}, true
}

func pauseNode(i *injector) (func(), bool) {
	n, ok := i.node()
	if !ok {
		return nothing, false
	}
	_ = n.Signal(syscall.SIGSTOP)
	i.down[n.Name] = true
	return func() {
		_ = n.Signal(syscall.SIGCONT)
		delete(i.down, n.Name)
	}, true
}

func reclaimHost(i *injector) (func(), bool) {
	h, ok := i.host(func(h cloud.Host) bool { return h.Reclaimable })
	if ok {
		i.cloud(http.MethodPost, "/control/reclaim", standincloud.ReclaimRequest{Host: h.Name, NoticeMillis: 2000 + i.random.Int64N(4000)})
	}
	return nothing, ok
}

func reclaimDomain(i *injector) (func(), bool) {
	domain := i.plan.FailureDomains[i.random.IntN(len(i.plan.FailureDomains))]
	i.cloud(http.MethodPost, "/control/reclaim", standincloud.ReclaimRequest{
		FailureDomain: domain, NoticeMillis: 2000 + i.random.Int64N(4000), RefuseNew: i.random.IntN(2) == 0,
	})
	return nothing, true
}

func crashHost(i *injector) (func(), bool) {
	h, ok := i.host(func(h cloud.Host) bool { return h.Backend == object.BackendModel })
	if ok {
		i.cloud(http.MethodPost, "/control/hosts/"+h.Name+"/crash", nil)
	}
	return nothing, ok
}

func crashRunner(i *injector) (func(), bool) {
	h, ok := i.host(func(cloud.Host) bool { return true })
	if ok {
		i.cloud(http.MethodPost, "/control/hosts/"+h.Name+"/restart", nil)
	}
	return nothing, ok
}

func freezeRunner(i *injector) (func(), bool) {
	h, ok := i.host(func(cloud.Host) bool { return true })
	if !ok {
		return nothing, false
	}
	path := "/control/hosts/" + h.Name + "/freeze"
	i.cloud(http.MethodPut, path, map[string]bool{"frozen": true})
	return func() {
		_ = process.DoJSON(http.MethodPut, i.cluster.CloudURL+path, map[string]bool{"frozen": false}, nil)
	}, true
}

func settings(on, off map[string]any) func(*injector) (func(), bool) {
	return func(i *injector) (func(), bool) {
		i.cloud(http.MethodPut, "/control/settings", on)
		return func() { i.cloud(http.MethodPut, "/control/settings", off) }, true
	}
}

func objectAPI(faults objectapi.Faults) func(*injector) (func(), bool) {
	set := func(i *injector, faults objectapi.Faults) {
		if err := process.DoJSON(http.MethodPut, i.cluster.ObjectAPIURL+"/control/faults", faults, nil); err != nil {
			i.log("control: " + err.Error())
		}
	}
	return func(i *injector) (func(), bool) {
		set(i, faults)
		return func() { set(i, objectapi.Faults{}) }, true
	}
}

func engines(faults engine.Faults) func(*injector) (func(), bool) {
	return func(i *injector) (func(), bool) {
		i.cloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{Faults: faults})
		return func() { i.cloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{}) }, true
	}
}

// silentStreams lets the open streams of one engine carry nothing.
func silentStreams(i *injector) (func(), bool) {
	h, ok := i.host(func(h cloud.Host) bool { return h.Backend == object.BackendModel })
	if !ok {
		return nothing, false
	}
	i.cloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{Host: h.Name, Faults: engine.Faults{SilentStreams: true}})
	return func() { i.cloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{Host: h.Name}) }, true
}

func services(faults service.Faults) func(*injector) (func(), bool) {
	return func(i *injector) (func(), bool) {
		h, ok := i.host(func(h cloud.Host) bool { return h.Backend == object.BackendService })
		if !ok {
			return nothing, false
		}
		i.cloud(http.MethodPut, "/control/service-faults", standincloud.ServiceFaults{Host: h.Name, Faults: faults})
		return func() { i.cloud(http.MethodPut, "/control/service-faults", standincloud.ServiceFaults{Host: h.Name}) }, true
	}
}

func silencePeer(i *injector) (func(), bool) {
	n, ok := i.node()
	if ok {
		n.PeerProxy.SilenceConnections()
	}
	return nothing, ok
}

func silenceObjectAPI(i *injector) (func(), bool) {
	i.cluster.ObjectAPIProxy.SilenceConnections()
	return nothing, true
}

// raceOperators applies two conflicting versions of the objects at the same time. Either may be refused.
func raceOperators(i *injector) (func(), bool) {
	raw, err := os.ReadFile(i.plan.ObjectFiles[0])
	if err != nil {
		i.log("operators race: " + err.Error())
		return nothing, false
	}
	var both sync.WaitGroup
	for _, share := range []string{"share: 5", "share: 6"} {
		path := filepath.Join(i.plan.LogDir, "objects-"+share[len(share)-1:]+".yaml")
		if err := os.WriteFile(path, bytes.Replace(raw, []byte("share: 4"), []byte(share), 1), 0o600); err != nil {
			return nothing, false
		}
		both.Go(func() { _, _ = i.cluster.Rudderctl("apply", "-f", path) })
	}
	both.Wait()
	return nothing, true
}

// crashingRequest sends a request that crashes each engine that runs it, and sends it again.
func crashingRequest(i *injector) (func(), bool) {
	n, ok := i.node()
	if !ok {
		return nothing, false
	}
	i.request++
	content := fmt.Sprintf("%s %d", engine.CrashMarker, i.request)
	const tokens = 20
	handle := i.oracle.Register(oracle.Request{ID: content, Kind: oracle.ModelRequest, Prompt: caller.Prompt(content), AnswerTokens: tokens, CrashesEngine: true})
	c := caller.New(i.user.Token, n.CallerAddress)
	go func() {
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			sending := handle.BeginSubmission()
			answer, err := c.Chat(ctx, n.CallerAddress, i.user.Model, content, tokens, "")
			cancel()
			sending.RecordModelAnswer(told(err), answer.Tokens)
		}
	}()
	return nothing, true
}

func told(err error) oracle.Outcome {
	var failure *caller.Failure
	switch {
	case err == nil:
		return oracle.Done
	case !errors.As(err, &failure):
		return oracle.NoOutcome
	case failure.Run == "no":
		return oracle.NotRun
	default:
		return oracle.Unknown
	}
}
