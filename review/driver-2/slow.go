package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const configApply = 2500 * time.Millisecond // config_apply_ms

// slowBody: a version of the manifest moves a route to another service while the body of a request
// on it arrives. The last of the body is sent long after the version was acknowledged.
func slowBody(l *lab) (bool, error) {
	routes := func(service string) []routeSpec {
		return []routeSpec{{"order", "unsafe", service, 8000, 1, false}}
	}
	services := []serviceSpec{{name: "old"}, {name: "new"}}
	if err := l.up(3, 2, manifest(1, routes("old"), services)); err != nil {
		return false, err
	}
	former, err := l.newServer("i-o1", "old", "a", 12, 5*time.Millisecond, "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	if _, err := l.newServer("i-n1", "new", "b", 12, 5*time.Millisecond, "127.0.0.1:0"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	l.load("/order/", 10, 2*time.Second, 0, 1)
	time.Sleep(time.Second)
	var bodies []*io.PipeWriter
	var calls sync.WaitGroup
	for i := range 4 {
		body, writer := io.Pipe()
		bodies = append(bodies, writer)
		calls.Go(func() { l.sendSlowly(i, body) })
	}
	for _, writer := range bodies {
		_, _ = writer.Write([]byte("first part, "))
	}
	l.note("client: the heads and first parts of four slow requests are sent")
	time.Sleep(200 * time.Millisecond)
	next := routes("new")
	if !l.trouble {
		next = routes("old")
	}
	acked, err := l.operate("/Config.Put", manifest(2, next, services), 0, 1, 2)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acked.Add(configApply + time.Second)))
	l.note("client: the last parts are sent, %v after the acknowledgement", time.Since(acked).Round(time.Millisecond))
	for _, writer := range bodies {
		_, _ = writer.Write([]byte("last part"))
		_ = writer.Close()
	}
	calls.Wait()
	late := 0
	for _, a := range former.since(acked.Add(configApply)) {
		if l.trouble && strings.HasPrefix(a.path, "/order/slow") {
			late++
		}
	}
	l.note("requests that the old service ran, sent later than %v after the acknowledgement: %d", configApply, late)
	return late > 0, nil
}

// sendSlowly sends a request whose body arrives in parts.
func (l *lab) sendSlowly(i int, body io.Reader) {
	id := fmt.Sprint("slow", i)
	request, err := http.NewRequest(http.MethodPost, "http://"+l.entryAddress(i%2)+"/order/"+id, body)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Papayaseam-Attempt-Id", id)
	request.Header.Set("Papayaseam-Deadline-Ms", "8000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		l.note("client: %s by entry-%d: %v", id, i%2, err)
		return
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	l.note("client: %s by entry-%d: status %d %q", id, i%2, response.StatusCode, data)
}
