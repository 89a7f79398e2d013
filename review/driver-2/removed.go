package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	joinTime    = 10 * time.Second       // how long the successor has run; catch_up_s is 4
	betweenLoss = 300 * time.Millisecond // between the removal and the loss of the disk
	recovery    = 15 * time.Second       // recovery_s
	readingTime = 30 * time.Second
)

// removedLeader: a machine of control is replaced. Its successor has run for long when the old
// one, which leads, is removed without a signal; another machine loses its disk shortly after.
func removedLeader(l *lab) (bool, error) {
	document := manifest(1, []routeSpec{{"look", "safe", "desk", 2000, 2, false}}, []serviceSpec{{name: "desk"}})
	if err := l.up(3, 1, document); err != nil {
		return false, err
	}
	if _, err := l.newServer("i-a1", "desk", "a", 12, 5*time.Millisecond, "127.0.0.1:0"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	l.load("/look/", 10, 2*time.Second, 0)
	if err := l.startControl(3, false); err != nil {
		return false, err
	}
	time.Sleep(joinTime)
	if !l.reads(3) {
		return false, fmt.Errorf("the successor does not read the manifest")
	}
	leader := -1
	for i := range 4 {
		if l.leads(i) {
			leader = i
		}
	}
	if leader < 0 || leader == 3 {
		return false, fmt.Errorf("control-%d leads, which is no machine that could be replaced", leader)
	}
	emptied := (leader + 1) % 3
	if _, err := l.operate("/Config.Put", strings.Replace(document, `"version":1`, `"version":9`, 1), leader); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	// A stopped process is as silent as a machine without power. It never goes on.
	l.note("control-%d, which leads, is removed for good; its successor is control-3", leader)
	l.signal(fmt.Sprint("control-", leader), syscall.SIGSTOP)
	if l.trouble {
		time.Sleep(betweenLoss)
		l.note("control-%d loses its disk", emptied)
		l.signal(fmt.Sprint("control-", emptied), syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := os.RemoveAll(filepath.Join(l.folder, fmt.Sprint("data-", emptied))); err != nil {
			return false, err
		}
		if err := l.startControl(emptied, false); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	read := 0
	for end := time.Now().Add(readingTime); time.Now().Before(end); time.Sleep(time.Second) {
		for i := range 4 {
			if i != leader && l.reads(i) {
				read++
			}
		}
	}
	l.note("reads of manifest 9 that were answered, %v to %v after the last start: %d", recovery, recovery+readingTime, read)
	return read == 0, nil
}

// reads reports whether a control process answers a read of the manifest.
func (l *lab) reads(i int) bool {
	status, body, _, err := send(http.MethodGet, "http://"+l.controlAddress(i)+"/Config.Get", nil, "", time.Second)
	l.note("operator: read of the manifest from control-%d: status %d, %d bytes, failed %v", i, status, len(body), err != nil)
	return err == nil && status == http.StatusOK
}
