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

// noUndo is the undo function of a fault that needs no undoing.
func noUndo() {}

func allFaults() []fault {
	return []fault{
		{"node killed", killNode},
		{"node paused", pauseNode},
		{"host reclaimed", reclaimHost},
		{"domain reclaimed", reclaimDomain},
		{"host crashed", crashHost},
		{"runner crashed", crashRunner},
		{"runner frozen", freezeRunner},
		{"starts refused", cloudSettingsFault(map[string]any{"refusals": []standincloud.RefusalRule{{}}}, map[string]any{"refusals": []standincloud.RefusalRule{}})},
		{"host list lags", cloudSettingsFault(map[string]any{"list_lag_ms": 4000}, map[string]any{"list_lag_ms": 0})},
		{"cloud API down", cloudSettingsFault(map[string]any{"down": true}, map[string]any{"down": false})},
		{"object API down", objectAPIFault(objectapi.Faults{Down: true})},
		{"object API slow", objectAPIFault(objectapi.Faults{DelayMillis: 300, JitterMillis: 200})},
		{"object API loses", objectAPIFault(objectapi.Faults{DropResponses: 4})},
		{"object API partly down", objectAPIFault(objectapi.Faults{FailShare: 0.3})},
		{"engine chunks doubled", engineFault(engine.Faults{RepeatEveryChunks: 3, StaleEveryChunks: 4})},
		{"engine chunks late", engineFault(engine.Faults{StreamDelayMillis: 8, StaleEveryChunks: 5, LoadLagMillis: 2000})},
		{"engine stream silent", silenceEngineStreams},
		{"service loses answers", serviceFault(service.Faults{DropResponses: 2})},
		{"service crashes", serviceFault(service.Faults{CrashOnCalls: 1})},
		{"service refuses", serviceFault(service.Faults{RefuseCalls: true})},
		{"peer links silent", silencePeerConnections},
		{"object API links silent", silenceObjectAPIConnections},
		{"operators race", applyConflictingObjects},
		{"crashing request", sendCrashingRequest},
	}
}

// killNode kills a node. Its undo function starts another node in the same failure domain.
func killNode(i *injector) (func(), bool) {
	n, ok := i.pickNode()
	if !ok {
		return noUndo, false
	}
	n.Kill()
	i.downNodes[n.Name] = true
	return func() {
		if _, err := i.cluster.StartNode(n.FailureDomain); err != nil {
			i.printEvent("start node: " + err.Error())
		}
	}, true
}

func pauseNode(i *injector) (func(), bool) {
	n, ok := i.pickNode()
	if !ok {
		return noUndo, false
	}
	_ = n.Signal(syscall.SIGSTOP)
	i.downNodes[n.Name] = true
	return func() {
		_ = n.Signal(syscall.SIGCONT)
		delete(i.downNodes, n.Name)
	}, true
}

func reclaimHost(i *injector) (func(), bool) {
	h, ok := i.pickHost(func(h cloud.Host) bool { return h.Reclaimable })
	if ok {
		i.controlCloud(http.MethodPost, "/control/reclaim", standincloud.ReclaimRequest{Host: h.Name, NoticeMillis: 2000 + i.random.Int64N(4000)})
	}
	return noUndo, ok
}

func reclaimDomain(i *injector) (func(), bool) {
	domain := i.clusterConfig.FailureDomains[i.random.IntN(len(i.clusterConfig.FailureDomains))]
	i.controlCloud(http.MethodPost, "/control/reclaim", standincloud.ReclaimRequest{
		FailureDomain: domain, NoticeMillis: 2000 + i.random.Int64N(4000), RefuseNew: i.random.IntN(2) == 0,
	})
	return noUndo, true
}

func crashHost(i *injector) (func(), bool) {
	h, ok := i.pickHost(func(h cloud.Host) bool { return h.Backend == object.BackendModel })
	if ok {
		i.controlCloud(http.MethodPost, "/control/hosts/"+h.Name+"/crash", nil)
	}
	return noUndo, ok
}

func crashRunner(i *injector) (func(), bool) {
	h, ok := i.pickHost(func(cloud.Host) bool { return true })
	if ok {
		i.controlCloud(http.MethodPost, "/control/hosts/"+h.Name+"/restart", nil)
	}
	return noUndo, ok
}

func freezeRunner(i *injector) (func(), bool) {
	h, ok := i.pickHost(func(cloud.Host) bool { return true })
	if !ok {
		return noUndo, false
	}
	path := "/control/hosts/" + h.Name + "/freeze"
	i.controlCloud(http.MethodPut, path, map[string]bool{"frozen": true})
	return func() {
		_ = process.DoJSON(http.MethodPut, i.cluster.CloudURL+path, map[string]bool{"frozen": false}, nil)
	}, true
}

// cloudSettingsFault changes settings of the cloud stand-in to on, and back to off on undo.
func cloudSettingsFault(on, off map[string]any) func(*injector) (func(), bool) {
	return func(i *injector) (func(), bool) {
		i.controlCloud(http.MethodPut, "/control/settings", on)
		return func() { i.controlCloud(http.MethodPut, "/control/settings", off) }, true
	}
}

// objectAPIFault sets faults of the object API stand-in and clears them on undo.
func objectAPIFault(faults objectapi.Faults) func(*injector) (func(), bool) {
	set := func(i *injector, faults objectapi.Faults) {
		if err := process.DoJSON(http.MethodPut, i.cluster.ObjectAPIURL+"/control/faults", faults, nil); err != nil {
			i.printEvent("control: " + err.Error())
		}
	}
	return func(i *injector) (func(), bool) {
		set(i, faults)
		return func() { set(i, objectapi.Faults{}) }, true
	}
}

// engineFault sets faults of all engines and clears them on undo.
func engineFault(faults engine.Faults) func(*injector) (func(), bool) {
	return func(i *injector) (func(), bool) {
		i.controlCloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{Faults: faults})
		return func() { i.controlCloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{}) }, true
	}
}

// silenceEngineStreams makes the open streams of one engine carry no data; new requests are still answered.
func silenceEngineStreams(i *injector) (func(), bool) {
	h, ok := i.pickHost(func(h cloud.Host) bool { return h.Backend == object.BackendModel })
	if !ok {
		return noUndo, false
	}
	i.controlCloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{Host: h.Name, Faults: engine.Faults{SilentStreams: true}})
	return func() {
		i.controlCloud(http.MethodPut, "/control/engine-faults", standincloud.EngineFaults{Host: h.Name})
	}, true
}

// serviceFault sets faults of one service runner and clears them on undo.
func serviceFault(faults service.Faults) func(*injector) (func(), bool) {
	return func(i *injector) (func(), bool) {
		h, ok := i.pickHost(func(h cloud.Host) bool { return h.Backend == object.BackendService })
		if !ok {
			return noUndo, false
		}
		i.controlCloud(http.MethodPut, "/control/service-faults", standincloud.ServiceFaults{Host: h.Name, Faults: faults})
		return func() {
			i.controlCloud(http.MethodPut, "/control/service-faults", standincloud.ServiceFaults{Host: h.Name})
		}, true
	}
}

// silencePeerConnections makes the open peer connections of one node carry no data for good; new connections work.
func silencePeerConnections(i *injector) (func(), bool) {
	n, ok := i.pickNode()
	if ok {
		n.PeerProxy.SilenceConnections()
	}
	return noUndo, ok
}

// silenceObjectAPIConnections makes the open connections to the object API carry no data for good; new connections work.
func silenceObjectAPIConnections(i *injector) (func(), bool) {
	i.cluster.ObjectAPIProxy.SilenceConnections()
	return noUndo, true
}

// applyConflictingObjects applies two conflicting versions of the objects concurrently. Either may be refused.
func applyConflictingObjects(i *injector) (func(), bool) {
	raw, err := os.ReadFile(i.clusterConfig.ObjectFiles[0])
	if err != nil {
		i.printEvent("operators race: " + err.Error())
		return noUndo, false
	}
	var wg sync.WaitGroup
	for _, share := range []string{"share: 5", "share: 6"} {
		path := filepath.Join(i.clusterConfig.LogDir, "objects-"+share[len(share)-1:]+".yaml")
		if err := os.WriteFile(path, bytes.Replace(raw, []byte("share: 4"), []byte(share), 1), 0o600); err != nil {
			return noUndo, false
		}
		wg.Go(func() { _, _ = i.cluster.Rudderctl("apply", "-f", path) })
	}
	wg.Wait()
	return noUndo, true
}

// sendCrashingRequest sends, twice, a request that crashes each engine that runs it. It does not wait for the answers.
func sendCrashingRequest(i *injector) (func(), bool) {
	n, ok := i.pickNode()
	if !ok {
		return noUndo, false
	}
	i.requestCount++
	content := fmt.Sprintf("%s %d", engine.CrashMarker, i.requestCount)
	const tokens = 20
	handle := i.oracle.Register(oracle.Request{ID: content, Kind: oracle.ModelRequest, Prompt: caller.Prompt(content), AnswerTokens: tokens, CrashesEngine: true})
	c := caller.New(i.user.Token, n.CallerAddress)
	go func() {
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			submission := handle.BeginSubmission()
			answer, err := c.Chat(ctx, n.CallerAddress, i.user.Model, content, tokens, "")
			cancel()
			submission.RecordModelAnswer(outcomeOf(err), answer.Tokens)
		}
	}()
	return noUndo, true
}

// outcomeOf maps the error of a request to the outcome that its caller saw.
func outcomeOf(err error) oracle.Outcome {
	var problemErr *caller.ProblemError
	switch {
	case err == nil:
		return oracle.Done
	case !errors.As(err, &problemErr):
		return oracle.NoOutcome
	case problemErr.Run == "no":
		return oracle.NotRun
	default:
		return oracle.Unknown
	}
}
