package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const benchTokens = 100

// BenchmarkPath compares a stream through entry and side process with a direct
// call to the same fake endpoint, in one run: the ratio of the times, and what
// the path adds to each token.
func BenchmarkPath(b *testing.B) {
	d := harrowQuill()
	d.instances, d.services, d.step = 2, 1, 5
	s := start(b, d)
	s.declare(d, 1)
	leader := s.endpoints[s.group(d.model + "-0").Members[0]]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, d.model, benchTokens)
	var direct, path time.Duration
	for b.Loop() {
		direct += timeCall(b, "http://"+leader, body)
		path += timeCall(b, "http://"+s.entries[0], body)
	}
	n := time.Duration(b.N)
	b.ReportMetric(float64(path)/float64(direct), "ratio")
	b.ReportMetric(float64((path-direct)/n/benchTokens)/float64(time.Microsecond), "added-µs/token")
	b.ReportMetric(float64(direct/n)/float64(time.Millisecond), "direct-ms")
}

func timeCall(b *testing.B, base, body string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(data), "[DONE]") {
		b.Fatalf("no whole answer: %v", err)
	}
	return time.Since(began)
}
