package measurer

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	streamTokens = 220
	percentile   = 95
)

// Load is what callers saw while answers streamed.
type Load struct {
	Streams      int
	Answers      int
	Failures     int
	Tokens       int
	FirstP95     time.Duration // FirstP95 is the time to the first token that 95 in 100 kept.
	BetweenP95   time.Duration // BetweenP95 is the time between tokens that 95 in 100 kept.
	TokensPerSec float64
}

// generator runs the callers.
type generator struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	began  time.Time

	mu      sync.Mutex
	load    Load
	first   []time.Duration
	between []time.Duration
}

// startLoad keeps the wanted number of streams open until stop.
func (s *system) startLoad(ctx context.Context) *generator {
	ctx, cancel := context.WithCancel(ctx)
	g := &generator{cancel: cancel, began: time.Now(), load: Load{Streams: s.size.Streams}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.size.Streams}}
	for i := range s.size.Streams {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			time.Sleep(time.Duration(i) * settle / time.Duration(s.size.Streams))
			for ctx.Err() == nil {
				g.call(ctx, client, s.apis[i%len(s.apis)])
			}
		}()
	}
	return g
}

func (g *generator) call(ctx context.Context, client *http.Client, api string) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, streamTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+api+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer key")
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var times []time.Time
	whole := false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), `"content":"`) {
			times = append(times, time.Now())
		}
		whole = whole || scanner.Text() == "data: [DONE]"
	}
	g.note(ctx, began, times, whole)
}

func (g *generator) note(ctx context.Context, began time.Time, times []time.Time, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case whole:
		g.load.Answers++
	case ctx.Err() == nil:
		g.load.Failures++
	}
	g.load.Tokens += len(times)
	for i, at := range times {
		if i == 1 {
			g.first = append(g.first, at.Sub(began))
		}
		if i > 1 {
			g.between = append(g.between, at.Sub(times[i-1]))
		}
	}
}

// stop ends the streams and sums up.
func (g *generator) stop() Load {
	seconds := time.Since(g.began).Seconds()
	g.cancel()
	g.wg.Wait()
	g.load.FirstP95 = at(g.first, percentile)
	g.load.BetweenP95 = at(g.between, percentile)
	g.load.TokensPerSec = float64(g.load.Tokens) / seconds
	return g.load
}

func at(list []time.Duration, percent int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*percent/100]
}
