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

// silentEndpoints answer no call.
type silentEndpoints struct{}

func (silentEndpoints) Report(context.Context, messenger.EndpointView) (messenger.EndpointReport, int, error) {
	return messenger.EndpointReport{}, 0, errors.New("silent")
}

func (silentEndpoints) Order(context.Context, messenger.EndpointView, placer.Order, int) (bool, error) {
	return false, errors.New("silent")
}

// decodeNumber reads documents of the form "N text".
func decodeNumber(document []byte) (*describer.Configuration, error) {
	config := &describer.Configuration{}
	var text string
	if _, err := fmt.Sscanf(string(document), "%d %s", &config.Version, &text); err != nil {
		return nil, err
	}
	if text == "invalid" {
		config.Routes = []describer.Route{{Name: "r"}}
	}
	return config, nil
}

// node is one control process in this test's process.
type node struct {
	t        *testing.T
	listener net.Listener
	address  string
	folder   string
	director *Director
	wrap     func(store) store // wrap stands between the process and its disk.
	stop     func()
}

type core struct {
	t     *testing.T
	seeds []string
	nodes []*node
}

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return l
}

// newCore starts three processes for the first time.
func newCore(t *testing.T) *core {
	c := &core{t: t}
	for range 3 {
		l := listen(t, "127.0.0.1:0")
		c.seeds = append(c.seeds, l.Addr().String())
		c.nodes = append(c.nodes, &node{t: t, listener: l, address: l.Addr().String(), folder: t.TempDir()})
	}
	for _, n := range c.nodes {
		n.start(c.seeds, true)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.end()
		}
	})
	return c
}

func (n *node) start(seeds []string, first bool) {
	d, err := New(Config{
		Name: n.address, Address: n.address, ListenAddress: n.address, Seeds: seeds, FirstStart: first, DataFolder: n.folder, ToleratedLosses: 1,
		GroupStallTimeout: time.Second, Decode: decodeNumber,
	}, silentEndpoints{}, exposer.NewLogger(io.Discard, n.address))
	assert.NilError(n.t, err)
	if n.wrap != nil {
		d.journal = n.wrap(d.journal)
	}
	mux := http.NewServeMux()
	d.RegisterHandlers(mux)
	server := &http.Server{Handler: mux}
	served := make(chan error, 1)
	go func() { served <- server.Serve(n.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- d.Run(ctx) }()
	n.director = d
	n.stop = func() {
		_ = server.Close()
		cancel()
		<-ran
		<-served
	}
}

func (n *node) end() {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// restart starts the process again at its address, with its disk or an empty
// one.
func (n *node) restart(seeds []string, wiped bool) {
	n.end()
	if wiped {
		assert.NilError(n.t, os.RemoveAll(n.folder))
		n.folder = n.t.TempDir()
	}
	n.listener = listen(n.t, n.address)
	n.start(seeds, false)
}

func (c *core) leader() *node {
	for _, n := range c.nodes {
		if n.stop == nil {
			continue
		}
		_, before := n.director.leaderAddress()
		if !before || n.director.confirm(context.Background()) != nil {
			continue
		}
		// The lead may have gone to another one meanwhile, which then confirmed.
		if _, leading := n.director.leaderAddress(); leading {
			return n
		}
	}
	return nil
}

func (c *core) awaitLeader() *node {
	var leader *node
	c.await("no leader", func() bool {
		leader = c.leader()
		return leader != nil
	})
	return leader
}

func (c *core) await(what string, done func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// declare sends a document to one process until it is accepted.
func (c *core) declare(n *node, document string) {
	c.t.Helper()
	c.await("not accepted", func() bool { return n.director.DeclareConfiguration(context.Background(), []byte(document)) == nil })
}

func (c *core) other(than *node) *node {
	for _, n := range c.nodes {
		if n != than && n.stop != nil {
			return n
		}
	}
	return nil
}

func (c *core) voters() []string {
	leader := c.leader()
	if leader == nil {
		return nil
	}
	leader.director.mu.Lock()
	defer leader.director.mu.Unlock()
	return slices.Clone(leader.director.voters)
}

func TestDocumentsThroughAnyProcess(t *testing.T) {
	c := newCore(t)
	follower := c.other(c.awaitLeader())
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

func TestMinorityReadsAndAcceptsNothing(t *testing.T) {
	c := newCore(t)
	leader := c.awaitLeader()
	c.declare(leader, "7 seven")
	for _, n := range c.nodes {
		if n != leader {
			n.end()
		}
	}
	_, err := leader.director.NewestConfiguration(context.Background())
	assert.Assert(t, errors.Is(err, ErrNoLeader))
	assert.Assert(t, leader.director.DeclareConfiguration(context.Background(), []byte("8 eight")) != nil)
	response := leader.director.Sync(context.Background(), messenger.FleetRequest{})
	assert.Assert(t, !response.Confirmed, "a lease was confirmed without a quorum")
}

func TestAcceptedDocumentSurvivesAKillOfAll(t *testing.T) {
	c := newCore(t)
	c.declare(c.awaitLeader(), "7 seven")
	for _, n := range c.nodes {
		n.end()
	}
	for _, n := range c.nodes {
		n.restart(c.seeds, false)
	}
	document, err := c.awaitLeader().director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
}

func TestEmptiedDiskVotesUnderANewName(t *testing.T) {
	c := newCore(t)
	c.declare(c.awaitLeader(), "7 seven")
	wiped := c.other(c.leader())
	before := wiped.director.identity
	wiped.restart(c.seeds, true)
	c.await("the emptied process does not vote", func() bool {
		return slices.Contains(c.voters(), wiped.director.identity)
	})
	voters := c.voters()
	assert.Assert(t, !slices.Contains(voters, before))
	assert.Equal(t, len(voters), 3)
	assert.Assert(t, !strings.HasPrefix(wiped.director.identity, "founder"))
	c.declare(wiped, "8 eight")
	document, err := wiped.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "8 eight")
}

func TestSuccessorAtAnotherAddressReplacesALostProcess(t *testing.T) {
	c := newCore(t)
	c.declare(c.awaitLeader(), "7 seven")
	lost := c.leader()
	lost.end()
	l := listen(t, "127.0.0.1:0")
	successor := &node{t: t, listener: l, address: l.Addr().String(), folder: t.TempDir()}
	c.nodes = append(c.nodes, successor)
	successor.start(c.seeds, false)
	c.await("the lost process still votes", func() bool {
		voters := c.voters()
		return len(voters) == 3 && slices.Contains(voters, successor.director.identity) && !slices.Contains(voters, lost.director.identity)
	})
	document, err := successor.director.NewestConfiguration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, document, "7 seven")
}

func TestProcessWithoutADiskRelaysAndNeverVotes(t *testing.T) {
	c := newCore(t)
	c.awaitLeader()
	l := listen(t, "127.0.0.1:0")
	relay := &node{t: t, listener: l, address: l.Addr().String()}
	c.nodes = append(c.nodes, relay)
	relay.start(c.seeds, false)
	c.declare(relay, "7 seven")
	c.await("not read through the relay", func() bool {
		document, err := relay.director.NewestConfiguration(context.Background())
		return err == nil && document == "7 seven"
	})
	assert.Equal(t, len(c.voters()), 3)
}

func TestLeaderAfterAKillOfAllKnowsTheEndpoints(t *testing.T) {
	c := newCore(t)
	first := c.awaitLeader()
	for i, id := range []string{"e1", "e2"} {
		view := messenger.EndpointView{Instance: id, Born: 5, Address: "127.0.0.1:" + strconv.Itoa(i+1), Service: "s", Sequence: 1}
		_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
		assert.NilError(t, err)
	}
	c.await("not remembered", func() bool {
		first.director.mu.Lock()
		defer first.director.mu.Unlock()
		return len(first.director.state.Endpoints()) == 2
	})
	_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &messenger.EndpointView{Instance: "e2", Born: 5}, Gone: true})
	assert.NilError(t, err)
	for _, n := range c.nodes {
		n.end()
	}
	for _, n := range c.nodes {
		n.restart(c.seeds, false)
	}
	leader := c.awaitLeader().director
	leader.mu.Lock()
	defer leader.mu.Unlock()
	known, ok := leader.table().Endpoint("e1")
	assert.Assert(t, ok && !known.View.Leaving)
	gone, ok := leader.table().Endpoint("e2")
	assert.Assert(t, !ok || gone.View.Leaving)
	assert.Assert(t, leader.fleet.partial, "its view is not whole yet")
}

func TestLeavingEndpointIsKnownToTheNextLeader(t *testing.T) {
	c := newCore(t)
	first := c.awaitLeader()
	view := messenger.EndpointView{Instance: "e1", Born: 5, Address: "127.0.0.1:1", Service: "s", Sequence: 1}
	_, err := first.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
	assert.NilError(t, err)
	leaving := view
	leaving.Leaving = true
	leaving.Sequence = 2
	follower := c.other(first)
	home, err := follower.director.Announce(context.Background(), messenger.Registration{Endpoint: &leaving})
	assert.NilError(t, err)
	assert.Equal(t, home, first.address)
	first.end()
	second := c.awaitLeader()
	// A late word of before must not make the endpoint ready again. It is sent
	// until a leader takes it, as endpoints do.
	view.Sequence = 3
	c.await("the announcement is not taken", func() bool {
		second = c.awaitLeader()
		_, err := second.director.Announce(context.Background(), messenger.Registration{Endpoint: &view})
		return err == nil
	})
	second.director.mu.Lock()
	defer second.director.mu.Unlock()
	known, ok := second.director.table().Endpoint("e1")
	assert.Assert(t, ok && known.View.Leaving)
}

// quiet returns a logger that writes nowhere.
func quiet() *log.Logger { return exposer.NewLogger(io.Discard, "test") }
