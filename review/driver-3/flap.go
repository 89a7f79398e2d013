package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// ledFor is how long the leader has led before the machine is added.
	ledFor = 5 * time.Second
	// lastTry is when the last machine may be added.
	lastTry = 75 * time.Second
	// joinTick is after which time a new process asks to join, and joinSlack what that takes.
	joinTick, joinSlack = 200 * time.Millisecond, 10 * time.Millisecond
)

// playFlap plays a new control machine that is lost for good right after it has asked to join,
// and is replaced. Later another machine is lost for good and replaced.
func playFlap(p *play) error {
	sys, err := startControls(p)
	if err != nil {
		return err
	}
	time.Sleep(ledFor)
	for {
		added, votes, err := sys.addAndLose()
		if err != nil {
			return err
		}
		if !votes || !p.trouble {
			if err := sys.loseFollower(added); err != nil || !p.trouble {
				return err
			}
		}
		if p.elapsed() > lastTry {
			return nil
		}
		// The lost machine had been heard already. Its successor is taken away as planned.
		p.note("once more")
		time.Sleep(catchUp)
		sys.endProcess(fmt.Sprint("control-", added), syscall.SIGTERM)
		sys.members = slices.DeleteFunc(sys.members, func(i int) bool { return i == added })
		time.Sleep(catchUp)
	}
}

// addAndLose adds a machine, which is lost as soon as it has asked to join, and adds its
// successor. It reports whether that one returns the manifest.
func (s *system) addAndLose() (successor int, votes bool, err error) {
	machine, err := s.addControl()
	if err != nil {
		return 0, false, err
	}
	log := filepath.Join(s.folder, fmt.Sprintf("control-%d.log", machine))
	if err := await("the new process has started", patience, func() bool {
		data, _ := os.ReadFile(log)
		return strings.Contains(string(data), "replica started")
	}); err != nil {
		return 0, false, err
	}
	time.Sleep(joinTick + joinSlack)
	if !s.trouble {
		time.Sleep(catchUp)
		return machine, s.reads(machine), nil
	}
	s.endProcess(fmt.Sprint("control-", machine), syscall.SIGKILL)
	s.note("the machine of control-%d is lost for good", machine)
	time.Sleep(time.Second)
	if successor, err = s.addControl(); err != nil {
		return 0, false, err
	}
	time.Sleep(catchUp)
	votes = s.reads(successor)
	s.note("operator: control-%d, which replaces it, returns the manifest: %t", successor, votes)
	return successor, votes, nil
}

// loseFollower takes the machine of a follower away for good and adds an empty one.
func (s *system) loseFollower(added int) error {
	leader, err := s.awaitLeader(s.members...)
	if err != nil {
		return err
	}
	lost := s.members[0]
	if lost == leader {
		lost = s.members[1]
	}
	s.endProcess(fmt.Sprint("control-", lost), syscall.SIGKILL)
	s.note("the machine of control-%d is lost for good; control-%d leads", lost, leader)
	s.members = append(slices.DeleteFunc(s.members, func(i int) bool { return i == lost }), added)
	time.Sleep(time.Second)
	machine, err := s.addControl()
	if err != nil {
		return err
	}
	s.members = append(s.members, machine)
	if err := s.readBack(); err != nil {
		return err
	}
	time.Sleep(catchUp)
	return s.readBack()
}
