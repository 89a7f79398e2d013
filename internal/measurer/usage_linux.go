package measurer

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

const (
	ticksPerSecond = 100
	bytesPerMB     = 1 << 20
	claimSenders   = 32
	claimWindow    = 5 * time.Second
)

// sample is the state of one process's counters.
type sample struct {
	bytes float64
	ticks float64
}

// watch lets the idle system run for the window and sums per role.
func (s *system) watch(ctx context.Context) ([]Role, error) {
	before := make([]sample, len(s.processes))
	for i, p := range s.processes {
		var err error
		if before[i], err = s.sample(ctx, p); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	time.Sleep(s.size.Window)
	roles := map[string]*Role{}
	for i, p := range s.processes {
		after, err := s.sample(ctx, p)
		if err != nil {
			return nil, err
		}
		memory, err := memoryMB(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		seconds := time.Since(began).Seconds()
		name := s.roleOf(ctx, p)
		if roles[name] == nil {
			roles[name] = &Role{Name: name}
		}
		roles[name].add(Usage{
			BytesPerSecond: (after.bytes - before[i].bytes) / seconds,
			CorePercent:    (after.ticks - before[i].ticks) / ticksPerSecond / seconds * 100,
			MemoryMB:       memory,
		})
	}
	var list []Role
	for _, name := range []string{"control-leader", "control", "entry", "side-leader", "side"} {
		if role, ok := roles[name]; ok {
			list = append(list, *role)
		}
	}
	return list, nil
}

func (r *Role) add(u Usage) {
	n := float64(r.Processes)
	r.Processes++
	r.Mean.BytesPerSecond = (r.Mean.BytesPerSecond*n + u.BytesPerSecond) / (n + 1)
	r.Mean.CorePercent = (r.Mean.CorePercent*n + u.CorePercent) / (n + 1)
	r.Mean.MemoryMB = (r.Mean.MemoryMB*n + u.MemoryMB) / (n + 1)
	r.Most.BytesPerSecond = max(r.Most.BytesPerSecond, u.BytesPerSecond)
	r.Most.CorePercent = max(r.Most.CorePercent, u.CorePercent)
	r.Most.MemoryMB = max(r.Most.MemoryMB, u.MemoryMB)
}

// roleOf tells leaders from the other processes of their role.
func (s *system) roleOf(ctx context.Context, p *process) string {
	if s.report.Leader == "" {
		_ = s.client.Get(ctx, "http://"+s.controls[0]+"/v1/status", &s.report)
	}
	if p.role == "control" && strings.HasSuffix(s.report.Leader, "@"+p.address) {
		return "control-leader"
	}
	for _, state := range s.report.Processes {
		if state.Address != p.address {
			continue
		}
		for _, group := range s.report.Groups {
			if group.Active && len(group.Members) > 0 && group.Members[0] == state.Instance {
				return "side-leader"
			}
		}
	}
	return p.role
}

// sample reads a process's byte counters and processor ticks.
func (s *system) sample(ctx context.Context, p *process) (sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/metrics", nil)
	if err != nil {
		return sample{}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return sample{}, errors.Wrapf(err, "read the metrics of a %s", p.role)
	}
	defer func() { _ = response.Body.Close() }()
	var result sample
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		if name == "papayaseam_read_bytes_total" || name == "papayaseam_wrote_bytes_total" {
			n, _ := strconv.ParseFloat(value, 64)
			result.bytes += n
		}
	}
	result.ticks, err = processorTicks(p.cmd.Process.Pid)
	return result, err
}

// processorTicks reads user and system time from the process table.
func processorTicks(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return user + system, nil
}

func memoryMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the memory")
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / bytesPerMB, nil
}

// claims commits claims from several senders for a while and returns their
// rate.
func (s *system) claims(ctx context.Context) (float64, error) {
	var committed atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for sender := range claimSenders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(began) < claimWindow; n++ {
				claim := messenger.ClaimRequest{Organisation: "o", Key: fmt.Sprintf("%d-%d", sender, n), Attempt: "a", Group: "g", Address: "x"}
				var answer messenger.CommandAnswer
				err := s.client.Call(ctx, "http://"+s.controls[0]+"/inner/command", messenger.Command{Kind: "claim", Claim: &claim}, &answer)
				if err == nil && answer.Claim != nil && answer.Claim.Granted {
					committed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return float64(committed.Load()) / time.Since(began).Seconds(), nil
}
