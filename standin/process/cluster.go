package process

import (
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"

	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/faultproxy"
)

// Node is one rudderd process.
type Node struct {
	*Process
	FailureDomain string
	Caller        string            // IP:port
	Peer          string            // IP:port
	Admin         string            // IP:port
	PeerProxy     *faultproxy.Proxy // nil without Plan.Proxies
}

// Plan says what a cluster consists of.
type Plan struct {
	BinDir         string
	LogDir         string
	Region         string
	FailureDomains []string
	NodesPerDomain int
	Groups         []cloud.Group
	ObjectFiles    []string // applied with rudderctl
	NodeArgs       []string // added to each rudderd
	CloudArgs      []string // added to the cloud stand-in
	// Proxies puts a fault proxy before the object API and before each node's address for other nodes.
	Proxies bool
}

// Cluster is a running system with its stand-ins.
type Cluster struct {
	plan      Plan
	ObjectAPI string // base URL, without the proxy
	Cloud     string // base URL
	Nodes     []*Node
	// ObjectAPIProxy stands between the nodes and the object API; nil without Plan.Proxies.
	ObjectAPIProxy *faultproxy.Proxy
	nodeObjectAPI  string // base URL that the nodes use
	processes      []*Process
}

// StartCluster starts stand-ins and nodes, applies the objects and waits until every node is ready.
func StartCluster(plan Plan) (*Cluster, error) {
	c := &Cluster{plan: plan}
	if err := c.startStandins(); err != nil {
		c.Stop()
		return nil, err
	}
	for _, domain := range plan.FailureDomains {
		for range plan.NodesPerDomain {
			if _, err := c.StartNode(domain); err != nil {
				c.Stop()
				return nil, err
			}
		}
	}
	if err := c.prepare(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startStandins() error {
	objectAPI, cloudAddress := FreeAddress(), FreeAddress()
	c.ObjectAPI, c.Cloud = "http://"+objectAPI, "http://"+cloudAddress
	groups, err := json.Marshal(c.plan.Groups)
	if err != nil {
		return errors.Wrap(err, "encode host groups")
	}
	if _, err := c.start("objectapi", "standin", "objectapi", "--address", objectAPI); err != nil {
		return err
	}
	if _, err := c.start("cloud", "standin", append([]string{"cloud", "--address", cloudAddress, "--groups", string(groups)}, c.plan.CloudArgs...)...); err != nil {
		return err
	}
	c.nodeObjectAPI = c.ObjectAPI
	if c.plan.Proxies {
		proxy, err := faultproxy.New(FreeAddress(), objectAPI)
		if err != nil {
			return err
		}
		c.ObjectAPIProxy = proxy
		c.nodeObjectAPI = "http://" + proxy.Address()
	}
	return WaitFor("stand-ins", func() bool {
		return Control(http.MethodGet, c.ObjectAPI+"/control/calls", nil, nil) == nil &&
			Control(http.MethodGet, c.Cloud+"/v1/hosts", nil, nil) == nil
	})
}

func (c *Cluster) start(name, program string, args ...string) (*Process, error) {
	p, err := Start(c.plan.LogDir, name, filepath.Join(c.plan.BinDir, program), args...)
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return p, err
}

// StartNode starts one more node in a failure domain, with further arguments besides those of the plan.
func (c *Cluster) StartNode(domain string, more ...string) (*Node, error) {
	name := domain + "-entry-" + strings.ReplaceAll(FreeAddress(), "127.0.0.1:", "")
	n := &Node{FailureDomain: domain, Caller: FreeAddress(), Peer: FreeAddress(), Admin: FreeAddress()}
	args := []string{
		"--node", name, "--region", c.plan.Region, "--failure-domain", domain,
		"--caller-address", n.Caller, "--peer-address", n.Peer, "--admin-address", n.Admin,
		"--object-api", c.nodeObjectAPI, "--host-list", c.Cloud, "--cloud-api", c.Cloud, "--weight-store", c.Cloud,
	}
	if c.plan.Proxies {
		listen := FreeAddress()
		proxy, err := faultproxy.New(n.Peer, listen)
		if err != nil {
			return nil, err
		}
		n.PeerProxy = proxy
		args = append(args, "--peer-listen", listen)
	}
	p, err := c.start(name, "rudderd", append(append(args, c.plan.NodeArgs...), more...)...)
	if err != nil {
		return nil, err
	}
	n.Process = p
	c.Nodes = append(c.Nodes, n)
	return n, nil
}

// prepare applies the objects and waits until every node is ready, knows all others and has all objects in force.
func (c *Cluster) prepare() error {
	for _, file := range c.plan.ObjectFiles {
		if _, err := c.Ctl("apply", "-f", file); err != nil {
			return err
		}
	}
	var accepted int64
	if err := WaitFor("acceptance of every object", func() (done bool) {
		accepted, done = c.acceptedRevision()
		return done
	}); err != nil {
		return err
	}
	for _, n := range c.Nodes {
		err := WaitFor("node "+n.Name+" ready", func() bool {
			var addresses struct {
				Addresses []struct{} `json:"addresses"`
			}
			var inForce struct {
				Revision int64 `json:"revision"`
			}
			return Control(http.MethodGet, "http://"+n.Admin+"/ready", nil, nil) == nil &&
				Control(http.MethodGet, "http://"+n.Admin+"/revision", nil, &inForce) == nil && inForce.Revision >= accepted &&
				Control(http.MethodGet, "http://"+n.Caller+"/v1/addresses", nil, &addresses) == nil &&
				len(addresses.Addresses) >= len(c.Nodes)
		})
		if err != nil {
			return err
		}
	}
	return c.waitApplied()
}

// acceptedRevision returns the newest revision that an object came into force with; done means that every written object
// is accepted.
func (c *Cluster) acceptedRevision() (newest int64, done bool) {
	ctx := context.Background()
	store := objectapi.NewClient(c.ObjectAPI, nil)
	specs, err := store.List(ctx, object.SpecPrefix)
	if err != nil {
		return 0, false
	}
	for _, spec := range specs.Objects {
		var status object.Status
		o, err := store.Get(ctx, object.StatusPrefix+strings.TrimPrefix(spec.Key, object.SpecPrefix))
		if err != nil || json.Unmarshal(o.Value, &status) != nil || !status.Accepted || status.ObservedVersion != spec.Version {
			return 0, false
		}
		newest = max(newest, status.Revision)
	}
	return newest, true
}

// Callers returns the addresses of all nodes for callers.
func (c *Cluster) Callers() []string {
	var addresses []string
	for _, n := range c.Nodes {
		addresses = append(addresses, n.Caller)
	}
	return addresses
}

// Ctl runs rudderctl and returns its output.
func (c *Cluster) Ctl(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(c.plan.BinDir, "rudderctl"), append(args, "--object-api", c.ObjectAPI)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "rudderctl %s: %s", strings.Join(args, " "), out)
}

// Stop ends all processes.
func (c *Cluster) Stop() {
	for i := len(c.processes) - 1; i >= 0; i-- {
		c.processes[i].Kill()
	}
	if c.ObjectAPIProxy != nil {
		c.ObjectAPIProxy.Close()
	}
	for _, n := range c.Nodes {
		if n.PeerProxy != nil {
			n.PeerProxy.Close()
		}
	}
}
