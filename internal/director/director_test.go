package director

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// unresponsiveEndpoints is an EndpointClient whose calls all fail.
type unresponsiveEndpoints struct{}

func (unresponsiveEndpoints) Report(context.Context, messenger.EndpointView) (messenger.EndpointReport, int, error) {
	return messenger.EndpointReport{}, 0, errors.New("endpoint does not respond")
}

func (unresponsiveEndpoints) Order(context.Context, messenger.EndpointView, placer.Order, int) (bool, error) {
	return false, errors.New("endpoint does not respond")
}

// decodeNumbered decodes documents of the form "VERSION TEXT"; the text "invalid"
// yields a configuration that fails its check, and "cold" one with a service whose cold
// endpoints are limited.
func decodeNumbered(document []byte) (*describer.Configuration, error) {
	config := &describer.Configuration{}
	var text string
	if _, err := fmt.Sscanf(string(document), "%d %s", &config.Version, &text); err != nil {
		return nil, err
	}
	if text == "invalid" {
		config.Routes = []describer.Route{{Name: "r"}}
	}
	if text == "cold" {
		config.Services = []describer.Service{{Name: "desk", ColdTime: 3 * time.Second, ColdRate: 32}}
	}
	return config, nil
}

// node is one control process, run within the test process.
type node struct {
	t        *testing.T
	listener net.Listener
	address  string
	folder   string
	director *Director
	wrap     func(store) store // wrap, if set, wraps the journal.
	calls    EndpointClient    // calls, if set, replaces endpoints that do not respond.
	stop     func()
}

// cluster is a group of control processes.
type cluster struct {
	t     *testing.T
	seeds []string
	nodes []*node
}

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return l
}

// newCluster starts a new cluster of three processes with disks.
func newCluster(t *testing.T) *cluster { return newClusterWith(t, nil) }

// newClusterWith is newCluster for processes that call the given endpoints.
func newClusterWith(t *testing.T, calls EndpointClient) *cluster {
	c := &cluster{t: t}
	for range 3 {
		l := listen(t, "127.0.0.1:0")
		c.seeds = append(c.seeds, l.Addr().String())
		c.nodes = append(c.nodes, &node{t: t, listener: l, address: l.Addr().String(), folder: t.TempDir(), calls: calls})
	}
	for _, n := range c.nodes {
		n.start(c.seeds, true)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.shutDown()
		}
	})
	return c
}

func (n *node) start(seeds []string, first bool) {
	calls := n.calls
	if calls == nil {
		calls = unresponsiveEndpoints{}
	}
	d, err := New(Config{
		Name: n.address, Address: n.address, ListenAddress: n.address, Seeds: seeds, FirstStart: first, DataFolder: n.folder, ToleratedLosses: 1,
		FailureDomains:    []string{"d0", "d1", "d2"},
		GroupStallTimeout: time.Second, Decode: decodeNumbered,
	}, calls, exposer.NewLogger(io.Discard, n.address))
	assert.NilError(n.t, err)
	if n.wrap != nil {
		d.journal = n.wrap(d.journal)
	}
	mux := http.NewServeMux()
	d.RegisterHandlers(mux)
	server := &http.Server{Handler: mux}
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(n.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan error, 1)
	go func() { runDone <- d.Run(ctx) }()
	n.director = d
	n.stop = func() {
		_ = server.Close()
		cancel()
		<-runDone
		<-serveDone
	}
}

func (n *node) shutDown() {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// restart restarts the process at its address, with its disk or an empty one.
func (n *node) restart(seeds []string, wiped bool) {
	n.shutDown()
	if wiped {
		assert.NilError(n.t, os.RemoveAll(n.folder))
		n.folder = n.t.TempDir()
	}
	n.listener = listen(n.t, n.address)
	n.start(seeds, false)
}

// leader returns the process that leads with the confirmation of a quorum, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.stop == nil {
			continue
		}
		_, wasLeading := n.director.leaderAddress()
		if !wasLeading || n.director.confirm(context.Background()) != nil {
			continue
		}
		// Another process may have become the leader meanwhile and confirmed the call.
		if _, leading := n.director.leaderAddress(); leading {
			return n
		}
	}
	return nil
}

func (c *cluster) waitForLeader() *node {
	var leader *node
	c.waitUntil("no leader", func() bool {
		leader = c.leader()
		return leader != nil
	})
	return leader
}

// waitUntil waits until the condition holds and fails the test with the given message
// if it doesn't in time.
func (c *cluster) waitUntil(failure string, condition func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", failure)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// declare declares a configuration at one process until it is accepted.
func (c *cluster) declare(n *node, document string) {
	c.t.Helper()
	c.waitUntil("the configuration is not accepted", func() bool { return n.director.DeclareConfiguration(context.Background(), []byte(document)) == nil })
}

// otherNode returns a running process other than the excluded one.
func (c *cluster) otherNode(excluded *node) *node {
	for _, n := range c.nodes {
		if n != excluded && n.stop != nil {
			return n
		}
	}
	return nil
}

// voters returns the voters that the leader knows; none if there is no leader.
func (c *cluster) voters() []string {
	leader := c.leader()
	if leader == nil {
		return nil
	}
	leader.director.mu.Lock()
	defer leader.director.mu.Unlock()
	return slices.Clone(leader.director.voters)
}

// TestAnyProcessAcceptsAndServesConfigurations guards against a stale or changed
// document for a version that a follower has accepted before, and against invalid
// configurations that are not reported as such.
func TestAnyProcessAcceptsAndServesConfigurations(t *testing.T) {
	c := newCluster(t)
	follower := c.otherNode(c.waitForLeader())
	c.declare(follower, "7 seven")
	c.declare(follower, "3 three")
	c.declare(follower, "7 other")
	for _, n := range c.nodes {
		document, err := n.director.NewestConfiguration(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, document, "7 seven")
	}
	err := follower.director.DeclareConfiguration(context.Background(), []byte("9 invalid"))
	assert.Assert(t, errors.Is(err, describer.ErrInvalid))
	err = follower.director.DeclareConfiguration(context.Background(), []byte("nine"))
	assert.Assert(t, errors.Is(err, describer.ErrInvalid))
}

// TestMinorityRejectsReadsAndWrites guards against a leader without a quorum that
// serves reads, accepts configurations or confirms syncs.
func TestMinorityRejectsReadsAndWrites(t *testing.T) {
	c := newCluster(t)
	leader := c.waitForLeader()
	c.declare(leader, "7 seven")
	for _, n := range c.nodes {
		if n != leader {
			n.shutDown()
		}
	}
	_, err := leader.director.NewestConfiguration(context.Background())
	assert.Assert(t, errors.Is(err, ErrNoLeader))
	assert.Assert(t, leader.director.DeclareConfiguration(context.Background(), []byte("8 eight")) != nil)
	response := leader.director.Sync(context.Background(), messenger.FleetRequest{})
	assert.Assert(t, !response.Confirmed, "a sync was confirmed without a quorum")
}

func TestAcceptedConfigurationSurvivesFullRestart(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	for _, n := range c.nodes {
		n.shutDown()
	}
	for _, n := range c.nodes {
		n.restart(c.seeds, false)
	}
	document, err := c.waitForLeader().director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
}

// TestWipedReplicaVotesUnderNewIdentity guards against a replica that loses its disk
// and votes twice in a term under its old identity.
func TestWipedReplicaVotesUnderNewIdentity(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	wiped := c.otherNode(c.leader())
	oldIdentity := wiped.director.identity
	wiped.restart(c.seeds, true)
	c.waitUntil("the wiped process is not a voter", func() bool {
		return slices.Contains(c.voters(), wiped.director.identity)
	})
	voters := c.voters()
	assert.Assert(t, !slices.Contains(voters, oldIdentity))
	assert.Equal(t, len(voters), 3)
	assert.Assert(t, !strings.HasPrefix(wiped.director.identity, "founder"))
	c.declare(wiped, "8 eight")
	document, err := wiped.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "8 eight")
}

func TestReplacementAtNewAddressReplacesLostVoter(t *testing.T) {
	c := newCluster(t)
	c.declare(c.waitForLeader(), "7 seven")
	lost := c.leader()
	lost.shutDown()
	l := listen(t, "127.0.0.1:0")
	replacement := &node{t: t, listener: l, address: l.Addr().String(), folder: t.TempDir()}
	c.nodes = append(c.nodes, replacement)
	replacement.start(c.seeds, false)
	c.waitUntil("the replacement is no voter, or the lost process still is", func() bool {
		voters := c.voters()
		return len(voters) == 3 && slices.Contains(voters, replacement.director.identity) && !slices.Contains(voters, lost.director.identity)
	})
	document, err := replacement.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
}

func TestDisklessProcessForwardsAndNeverVotes(t *testing.T) {
	c := newCluster(t)
	c.waitForLeader()
	l := listen(t, "127.0.0.1:0")
	diskless := &node{t: t, listener: l, address: l.Addr().String()}
	c.nodes = append(c.nodes, diskless)
	diskless.start(c.seeds, false)
	c.declare(diskless, "7 seven")
	c.waitUntil("the diskless process does not serve the configuration", func() bool {
		document, err := diskless.director.NewestConfiguration(context.Background())
		return err == nil && document == "7 seven"
	})
	assert.Equal(t, len(c.voters()), 3)
}

// TestLeaderAfterFullRestartKnowsEndpoints guards against a leader that, after a
// restart of all control processes, forgets the endpoints recorded in the log or
// treats its view as complete.
func TestLeaderAfterFullRestartKnowsEndpoints(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	for i, id := range []string{"e1", "e2"} {
		view := messenger.EndpointView{Instance: id, Born: 5, Address: "127.0.0.1:" + strconv.Itoa(i+1), Service: "s", Sequence: 1}
		_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
		assert.NilError(t, err)
	}
	c.waitUntil("the endpoints are not recorded in the log", func() bool {
		first.director.mu.Lock()
		defer first.director.mu.Unlock()
		return len(first.director.state.Endpoints()) == 2
	})
	_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &messenger.EndpointView{Instance: "e2", Born: 5}, Gone: true})
	assert.NilError(t, err)
	for _, n := range c.nodes {
		n.shutDown()
	}
	for _, n := range c.nodes {
		n.restart(c.seeds, false)
	}
	leader := c.waitForLeader().director
	leader.mu.Lock()
	defer leader.mu.Unlock()
	known, ok := leader.tracker().Endpoint("e1")
	assert.Assert(t, ok && !known.View.Leaving)
	gone, ok := leader.tracker().Endpoint("e2")
	assert.Assert(t, !ok || gone.View.Leaving)
	assert.Assert(t, leader.fleet.partial, "the view counts as complete before endpoints were read")
}

// TestNextLeaderKnowsLeavingEndpoint guards against an endpoint that becomes ready
// again after a change of leader, although it announced its departure.
func TestNextLeaderKnowsLeavingEndpoint(t *testing.T) {
	c := newCluster(t)
	first := c.waitForLeader()
	view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 1}
	_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
	assert.NilError(t, err)
	leaving := view
	leaving.Leaving = true
	leaving.Sequence = 2
	follower := c.otherNode(first)
	home, err := follower.director.Announce(context.Background(), messenger.Registration{Endpoint: &leaving})
	assert.NilError(t, err)
	assert.Equal(t, home, first.address)
	first.shutDown()
	second := c.waitForLeader()
	// A delayed announcement from before the departure must not make the endpoint
	// ready again. Like an endpoint, the test resends it until a leader accepts it.
	view.Sequence = 3
	c.waitUntil("the announcement is not accepted", func() bool {
		second = c.waitForLeader()
		_, err := second.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
		return err == nil
	})
	second.director.mu.Lock()
	defer second.director.mu.Unlock()
	known, ok := second.director.tracker().Endpoint("e1")
	assert.Assert(t, ok && known.View.Leaving)
}

// discardLogger returns a logger that discards its output.
func discardLogger() *log.Logger { return exposer.NewLogger(io.Discard, "test") }
