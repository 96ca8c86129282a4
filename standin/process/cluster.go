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
	CallerAddress string            // IP:port for callers
	PeerAddress   string            // IP:port for other nodes; that of the proxy, if there is one
	AdminAddress  string            // IP:port of the admin pages
	PeerProxy     *faultproxy.Proxy // nil without ClusterConfig.UseFaultProxies
}

// ClusterConfig describes a cluster and how it is started.
type ClusterConfig struct {
	BinDir         string // has the programs
	LogDir         string // gets one log file for each process
	Region         string
	FailureDomains []string
	NodesPerDomain int
	HostGroups     []cloud.Group
	ObjectFiles    []string // applied with rudderctl
	NodeArgs       []string // added to the arguments of each rudderd
	CloudArgs      []string // added to the arguments of the cloud stand-in
	// UseFaultProxies puts a fault proxy between the nodes and the object API, and before the peer address of each node.
	UseFaultProxies bool
}

// Cluster is a running cluster with its stand-ins. It is not safe for concurrent use while nodes are started.
type Cluster struct {
	config       ClusterConfig
	ObjectAPIURL string // base URL, not through the proxy
	CloudURL     string // base URL
	Nodes        []*Node
	// ObjectAPIProxy is between the nodes and the object API; nil without ClusterConfig.UseFaultProxies.
	ObjectAPIProxy   *faultproxy.Proxy
	nodeObjectAPIURL string     // base URL that the nodes use
	processes        []*Process // in the order of their start
}

// StartCluster starts the stand-ins and the nodes, applies the objects and waits until every node is ready. After an error
// it stops what it has started.
func StartCluster(config ClusterConfig) (*Cluster, error) {
	c := &Cluster{config: config}
	if err := c.startStandins(); err != nil {
		c.Stop()
		return nil, err
	}
	for _, failureDomain := range config.FailureDomains {
		for range config.NodesPerDomain {
			if _, err := c.StartNode(failureDomain); err != nil {
				c.Stop()
				return nil, err
			}
		}
	}
	if err := c.applyObjectsAndWait(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// startStandins starts the object API and the cloud, with proxies if configured, and waits until both respond.
func (c *Cluster) startStandins() error {
	objectAPIAddress, cloudAddress := FreeAddress(), FreeAddress()
	c.ObjectAPIURL, c.CloudURL = "http://"+objectAPIAddress, "http://"+cloudAddress
	groups, err := json.Marshal(c.config.HostGroups)
	if err != nil {
		return errors.Wrap(err, "encode host groups")
	}
	if _, err := c.startProcess("objectapi", "standin", "objectapi", "--address", objectAPIAddress); err != nil {
		return err
	}
	if _, err := c.startProcess("cloud", "standin", append([]string{"cloud", "--address", cloudAddress, "--groups", string(groups)}, c.config.CloudArgs...)...); err != nil {
		return err
	}
	c.nodeObjectAPIURL = c.ObjectAPIURL
	if c.config.UseFaultProxies {
		proxy, err := faultproxy.New(FreeAddress(), objectAPIAddress)
		if err != nil {
			return err
		}
		c.ObjectAPIProxy = proxy
		c.nodeObjectAPIURL = "http://" + proxy.Address()
	}
	return WaitFor("stand-ins", func() bool {
		return DoJSON(http.MethodGet, c.ObjectAPIURL+"/control/calls", nil, nil) == nil &&
			DoJSON(http.MethodGet, c.CloudURL+"/v1/hosts", nil, nil) == nil
	})
}

// startProcess starts a program of BinDir as a process that Stop kills.
func (c *Cluster) startProcess(name, program string, args ...string) (*Process, error) {
	p, err := Start(c.config.LogDir, name, filepath.Join(c.config.BinDir, program), args...)
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return p, err
}

// StartNode starts one more node in a failure domain, with extra arguments after those of the configuration. It does not wait
// until the node is ready.
func (c *Cluster) StartNode(failureDomain string, extraArgs ...string) (*Node, error) {
	// Numbered names are the same in each test run, and with them the rendezvous hashes, so that test runs can be compared.
	name := fmt.Sprintf("%s-entry-%d", failureDomain, len(c.Nodes)+1)
	n := &Node{FailureDomain: failureDomain, CallerAddress: FreeAddress(), PeerAddress: FreeAddress(), AdminAddress: FreeAddress()}
	args := []string{
		"--node", name, "--region", c.config.Region, "--failure-domain", failureDomain,
		"--caller-address", n.CallerAddress, "--peer-address", n.PeerAddress, "--admin-address", n.AdminAddress,
		"--object-api", c.nodeObjectAPIURL, "--host-list", c.CloudURL, "--cloud-api", c.CloudURL, "--weight-store", c.CloudURL,
	}
	if c.config.UseFaultProxies {
		listenAddress := FreeAddress()
		proxy, err := faultproxy.New(n.PeerAddress, listenAddress)
		if err != nil {
			return nil, err
		}
		n.PeerProxy = proxy
		args = append(args, "--peer-listen", listenAddress)
	}
	p, err := c.startProcess(name, "rudderd", append(append(args, c.config.NodeArgs...), extraArgs...)...)
	if err != nil {
		return nil, err
	}
	n.Process = p
	c.Nodes = append(c.Nodes, n)
	return n, nil
}

// applyObjectsAndWait applies the objects and waits until every node is ready, knows all other nodes and uses a revision with
// all objects.
func (c *Cluster) applyObjectsAndWait() error {
	for _, file := range c.config.ObjectFiles {
		if _, err := c.Rudderctl("apply", "-f", file); err != nil {
			return err
		}
	}
	// A revision that is created during the apply may lack the last objects of a file. The revision to wait for is therefore
	// read only when all objects are accepted.
	revision := int64(0)
	if err := WaitFor("acceptance of all objects", func() bool {
		var accepted bool
		revision, accepted = c.acceptedRevision()
		return accepted
	}); err != nil {
		return err
	}
	for _, n := range c.Nodes {
		err := WaitFor("node "+n.Name+" to be ready", func() bool {
			var addresses struct {
				Addresses []struct{} `json:"addresses"`
			}
			return n.Revision() >= revision && DoJSON(http.MethodGet, "http://"+n.AdminAddress+"/ready", nil, nil) == nil &&
				DoJSON(http.MethodGet, "http://"+n.CallerAddress+"/v1/addresses", nil, &addresses) == nil &&
				len(addresses.Addresses) >= len(c.Nodes)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// acceptedRevision returns the newest revision, and whether the present version of every object is accepted.
func (c *Cluster) acceptedRevision() (int64, bool) {
	output, err := c.Rudderctl("status", "-o", "json")
	var status struct {
		Revision int64 `json:"revision"`
		Objects  []struct {
			State string `json:"state"`
		} `json:"objects"`
	}
	if err != nil || json.Unmarshal([]byte(output), &status) != nil {
		return 0, false
	}
	for _, o := range status.Objects {
		if o.State != "accepted" {
			return 0, false
		}
	}
	return status.Revision, true
}

// Revision returns the revision of the configuration that the node uses, or 0 if the node does not respond.
func (n *Node) Revision() int64 {
	var response struct {
		Revision int64 `json:"revision"`
	}
	_ = DoJSON(http.MethodGet, "http://"+n.AdminAddress+"/revision", nil, &response)
	return response.Revision
}

// CallerAddresses returns the caller address of each node.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, n := range c.Nodes {
		addresses = append(addresses, n.CallerAddress)
	}
	return addresses
}

// Rudderctl runs rudderctl with the object API, not through the proxy, and returns its standard output and standard error.
func (c *Cluster) Rudderctl(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(c.config.BinDir, "rudderctl"), append(args, "--object-api", c.ObjectAPIURL)...)
	output, err := cmd.CombinedOutput()
	return string(output), errors.Wrapf(err, "rudderctl %s: %s", strings.Join(args, " "), output)
}

// DescribeEnded tells of each process that has ended, by Kill too, when and how it ended, with its last output.
func (c *Cluster) DescribeEnded() []string {
	var descriptions []string
	for _, p := range c.processes {
		select {
		case <-p.done:
			descriptions = append(descriptions, p.describeEnd())
		default:
		}
	}
	return descriptions
}

// CopyObjectAPI makes the copy to which RestoreObjectAPI goes back.
func (c *Cluster) CopyObjectAPI() error {
	return DoJSON(http.MethodPost, c.ObjectAPIURL+"/control/copy", nil, nil)
}

// RestoreObjectAPI makes the object API lose everything that was written since CopyObjectAPI.
func (c *Cluster) RestoreObjectAPI() error {
	return DoJSON(http.MethodPost, c.ObjectAPIURL+"/control/restore", nil, nil)
}

// Stop kills all processes, the last started first, and closes the proxies.
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
