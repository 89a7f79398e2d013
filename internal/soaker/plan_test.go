package soaker

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testConfig = Config{Controls: 3, Entries: 2, Servers: 3, Domains: 3}

func planOf(seed uint64, steps int, opts ...Option) (actions []Action) {
	p := NewPlanner(seed, testConfig, opts...)
	for range steps {
		actions = append(actions, p.Update(StepMsg{})...)
	}
	return append(actions, p.Update(FinishMsg{})...)
}

// TestSameSeedGivesTheSamePlan guards against a failure that can't be replayed.
func TestSameSeedGivesTheSamePlan(t *testing.T) {
	assert.DeepEqual(t, planOf(7, 40), planOf(7, 40))
	assert.Assert(t, len(planOf(7, 40)) > 40)
}

// TestPlansKeepToTheDeclaredLosses guards against a plan that takes more than the system
// promises to tolerate, and against one that leaves something down or acts on what is down.
func TestPlansKeepToTheDeclaredLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		downControl, downEntry, downServer, settled, evacuated := -1, -1, -1, true, -1
		take := func(what *int, target int) {
			if *what >= 0 {
				t.Fatalf("%d is taken while %d is down", target, *what)
			}
			*what = target
		}
		give := func(what *int, target int) {
			if *what != target {
				t.Fatalf("%d is started while %d is down", target, *what)
			}
			*what = -1
		}
		actions := planOf(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 60).Draw(t, "steps"), WithEvacuations(), WithColdServers())
		for _, a := range actions {
			switch a.Kind {
			case KillControl, StopControl, EmptyControl:
				take(&downControl, a.Target)
				if !settled {
					t.Fatalf("control is touched before it has settled")
				}
				settled = false
			case StartControl:
				give(&downControl, a.Target)
			case AwaitControl:
				if downControl >= 0 {
					t.Fatalf("control is awaited while %d is down", downControl)
				}
				settled = true
			case KillEntry, StopEntry, FreezeEntry:
				take(&downEntry, a.Target)
			case StartEntry, ThawEntry:
				give(&downEntry, a.Target)
			case CrashServer:
				take(&downServer, a.Target)
			case StartServer:
				give(&downServer, a.Target)
			case Evacuate:
				take(&evacuated, a.Target)
			case EndEvacuation:
				give(&evacuated, a.Target)
			case Flood:
				if a.Target < 0 || a.Target == downEntry {
					t.Fatalf("a flood meets no entry")
				}
			case Declare, ResetServer, TurnServersCold:
			}
		}
		if downControl >= 0 || downEntry >= 0 || downServer >= 0 || evacuated >= 0 || !settled {
			t.Fatalf("the plan leaves something down")
		}
	})
}

// TestStepsAreSwitchedOn guards against calls that the programs do not know yet.
func TestStepsAreSwitchedOn(t *testing.T) {
	has := func(actions []Action, kind Kind) bool {
		for _, a := range actions {
			if a.Kind == kind {
				return true
			}
		}
		return false
	}
	for _, kind := range []Kind{Evacuate, EndEvacuation, TurnServersCold} {
		assert.Assert(t, !has(planOf(3, 200), kind))
		assert.Assert(t, has(planOf(3, 200, WithEvacuations(), WithColdServers()), kind))
	}
	for _, kind := range []Kind{KillControl, StopControl, EmptyControl, StartControl, AwaitControl, KillEntry, StopEntry, FreezeEntry, ThawEntry, StartEntry, CrashServer, StartServer, ResetServer, Declare, Flood} {
		assert.Assert(t, has(planOf(3, 200), kind), "%s is never planned", kind)
	}
}
