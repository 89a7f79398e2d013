package soaker

import (
	"fmt"
	"math/rand/v2"
)

// Kind is the kind of an action.
type Kind string

// The kinds of actions. A target is the number of a machine or server of its kind.
const (
	KillControl     Kind = "kill-control"
	StopControl     Kind = "stop-control"
	EmptyControl    Kind = "empty-control" // EmptyControl kills a control process and destroys its disk.
	StartControl    Kind = "start-control"
	AwaitControl    Kind = "await-control" // AwaitControl waits until all control processes return the configuration.
	KillEntry       Kind = "kill-entry"
	StopEntry       Kind = "stop-entry"
	FreezeEntry     Kind = "freeze-entry"
	ThawEntry       Kind = "thaw-entry"
	StartEntry      Kind = "start-entry"
	CrashServer     Kind = "crash-server"
	StartServer     Kind = "start-server"
	ResetServer     Kind = "reset-server" // ResetServer breaks the connections of a server at its proxy.
	Declare         Kind = "declare"
	Flood           Kind = "flood" // Flood opens connections whose bodies stop short of their end.
	Evacuate        Kind = "evacuate"
	EndEvacuation   Kind = "end-evacuation"
	TurnServersCold Kind = "turn-servers-cold"
)

// Action is one thing that a plan does to the processes.
type Action struct {
	Kind   Kind
	Target int
}

// String returns the action in logs and reports.
func (a Action) String() string { return fmt.Sprintf("%s-%d", a.Kind, a.Target) }

// Msg is an input of a Planner.
type Msg interface{ plannerMsg() }

// StepMsg asks for the actions of the next step.
type StepMsg struct{}

// FinishMsg asks for the actions after which everything runs again.
type FinishMsg struct{}

func (StepMsg) plannerMsg()   {}
func (FinishMsg) plannerMsg() {}

// state is what a planner has done to one process.
type state int

const (
	up state = iota
	down
	frozen
)

// Planner turns a seed into a plan, step by step. It keeps to what the declared losses
// allow: one control process, one entry and one server are down at a time, and control has
// settled before another of its processes is touched.
type Planner struct {
	cfg       Config
	rng       *rand.Rand
	control   []state
	entries   []state
	servers   []state
	unsettled bool // unsettled is set until control has settled after a loss.
	evacuated int  // evacuated is the evacuated failure domain, or -1.
}

// Config holds the size of what is soaked.
type Config struct {
	Controls, Entries, Servers, Domains int
	evacuations, cold                   bool
}

// Option changes a Planner.
type Option func(*Config)

// WithEvacuations plans evacuations of failure domains.
func WithEvacuations() Option { return func(c *Config) { c.evacuations = true } }

// WithColdServers plans servers that turn cold.
func WithColdServers() Option { return func(c *Config) { c.cold = true } }

// NewPlanner returns a planner for the processes of a rig.
func NewPlanner(seed uint64, cfg Config, opts ...Option) *Planner {
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Planner{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), evacuated: -1,
		control: make([]state, cfg.Controls), entries: make([]state, cfg.Entries), servers: make([]state, cfg.Servers),
	}
}

// maxActions bounds the actions of one step, which overlap.
const maxActions = 3

// Update returns the next actions.
func (p *Planner) Update(msg Msg) []Action {
	if _, ok := msg.(FinishMsg); ok {
		return p.finish()
	}
	var actions []Action
	choices := []func() []Action{p.touchControl, p.touchEntry, p.touchServer, p.declare, p.flood, p.touchDomain, p.turnCold}
	for range 1 + p.rng.IntN(maxActions) {
		actions = append(actions, choices[p.rng.IntN(len(choices))]()...)
	}
	return actions
}

// find returns the first process in one of the states, or -1.
func find(states []state, wanted ...state) int {
	for i, s := range states {
		for _, w := range wanted {
			if s == w {
				return i
			}
		}
	}
	return -1
}

// touchControl starts the control process that is down, or takes one down.
func (p *Planner) touchControl() []Action {
	if i := find(p.control, down); i >= 0 {
		p.control[i] = up
		return []Action{{StartControl, i}}
	}
	var actions []Action
	if p.unsettled {
		actions = append(actions, Action{Kind: AwaitControl})
	}
	i := p.rng.IntN(len(p.control))
	p.control[i], p.unsettled = down, true
	kinds := []Kind{KillControl, StopControl, EmptyControl}
	return append(actions, Action{kinds[p.rng.IntN(len(kinds))], i})
}

// touchEntry starts or thaws the entry that is not up, or takes one down.
func (p *Planner) touchEntry() []Action {
	if i := find(p.entries, down, frozen); i >= 0 {
		kind := StartEntry
		if p.entries[i] == frozen {
			kind = ThawEntry
		}
		p.entries[i] = up
		return []Action{{kind, i}}
	}
	i := p.rng.IntN(len(p.entries))
	switch p.rng.IntN(3) {
	case 0:
		p.entries[i] = frozen
		return []Action{{FreezeEntry, i}}
	case 1:
		p.entries[i] = down
		return []Action{{StopEntry, i}}
	}
	p.entries[i] = down
	return []Action{{KillEntry, i}}
}

// touchServer starts the server that is down, crashes one, or breaks its connections.
func (p *Planner) touchServer() []Action {
	if i := find(p.servers, down); i >= 0 {
		p.servers[i] = up
		return []Action{{StartServer, i}}
	}
	i := p.rng.IntN(len(p.servers))
	if p.rng.IntN(2) == 0 {
		return []Action{{ResetServer, i}}
	}
	p.servers[i] = down
	return []Action{{CrashServer, i}}
}

func (p *Planner) declare() []Action { return []Action{{Kind: Declare}} }

func (p *Planner) flood() []Action {
	i := find(p.entries, up)
	return []Action{{Flood, i}}
}

// touchDomain evacuates a failure domain, or revokes it.
func (p *Planner) touchDomain() []Action {
	if !p.cfg.evacuations {
		return nil
	}
	if p.evacuated >= 0 {
		domain := p.evacuated
		p.evacuated = -1
		actions := []Action{{EndEvacuation, domain}}
		if p.cfg.cold && p.rng.IntN(2) == 0 {
			actions = append([]Action{{TurnServersCold, domain}}, actions...)
		}
		return actions
	}
	p.evacuated = p.rng.IntN(p.cfg.Domains)
	return []Action{{Evacuate, p.evacuated}}
}

func (p *Planner) turnCold() []Action {
	if !p.cfg.cold {
		return nil
	}
	return []Action{{TurnServersCold, p.rng.IntN(p.cfg.Domains)}}
}

// finish brings everything up again.
func (p *Planner) finish() []Action {
	var actions []Action
	if find(p.control, down) >= 0 {
		actions = append(actions, p.touchControl()...)
	}
	if find(p.entries, down, frozen) >= 0 {
		actions = append(actions, p.touchEntry()...)
	}
	if find(p.servers, down) >= 0 {
		actions = append(actions, p.touchServer()...)
	}
	if p.evacuated >= 0 {
		actions = append(actions, Action{EndEvacuation, p.evacuated})
		p.evacuated = -1
	}
	p.unsettled = false
	return append(actions, Action{Kind: AwaitControl})
}
