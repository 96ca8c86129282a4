package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

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
	// The number makes names repeatable, and with them the rendezvous hashes of runs that are compared.
	name := fmt.Sprintf("%s-entry-%d", domain, len(c.Nodes)+1)
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
	// An early revision may hold only the first objects of a file.
	number := int64(0)
	if err := WaitFor("acceptance of all objects", func() bool {
		var accepted bool
		number, accepted = c.accepted()
		return accepted
	}); err != nil {
		return err
	}
	for _, n := range c.Nodes {
		err := WaitFor("node "+n.Name+" ready", func() bool {
			var addresses struct {
				Addresses []struct{} `json:"addresses"`
			}
			return n.Revision() >= number && Control(http.MethodGet, "http://"+n.Admin+"/ready", nil, nil) == nil &&
				Control(http.MethodGet, "http://"+n.Caller+"/v1/addresses", nil, &addresses) == nil &&
				len(addresses.Addresses) >= len(c.Nodes)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// accepted returns the newest revision and whether the present version of every object is accepted.
func (c *Cluster) accepted() (int64, bool) {
	out, err := c.Ctl("status", "-o", "json")
	var status struct {
		Revision int64 `json:"revision"`
		Objects  []struct {
			State string `json:"state"`
		} `json:"objects"`
	}
	if err != nil || json.Unmarshal([]byte(out), &status) != nil {
		return 0, false
	}
	for _, o := range status.Objects {
		if o.State != "accepted" {
			return 0, false
		}
	}
	return status.Revision, true
}

// Revision returns the configuration in force on the node, 0 if it does not answer.
func (n *Node) Revision() int64 {
	var answer struct {
		Revision int64 `json:"revision"`
	}
	_ = Control(http.MethodGet, "http://"+n.Admin+"/revision", nil, &answer)
	return answer.Revision
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
