// Command order places one order that runs at most once: it is sent with an
// idempotency key, and sent again, through another entry, as long as the
// verdict allows it.
//
// # Usage
//
// With examples/three-domains running and its first ticket submitted:
//
//	go run ./examples/order order-42 "two treasure maps"
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const pause = 500 * time.Millisecond

var entries = []string{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: order KEY TEXT")
		os.Exit(2)
	}
	for _, entry := range entries {
		answer, again, err := place(entry, os.Args[1], os.Args[2])
		if err == nil {
			fmt.Println(answer)
			return
		}
		fmt.Fprintln(os.Stderr, "order:", err)
		if !again {
			os.Exit(1)
		}
		time.Sleep(pause)
	}
	os.Exit(1)
}

// place sends the order; again tells whether it may be sent again.
func place(entry, key, text string) (answer string, again bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/services/orders/prints", bytes.NewReader([]byte(text)))
	if err != nil {
		return "", false, err
	}
	request.Header.Set("Authorization", "Bearer papaya-demo-key")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", true, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode < http.StatusBadRequest {
		return string(body), true, err
	}
	var refused struct {
		Error struct{ Message, Verdict string }
	}
	_ = json.Unmarshal(body, &refused)
	return "", refused.Error.Verdict == "not-run" && response.StatusCode >= http.StatusTooManyRequests, fmt.Errorf("%s (%s)", refused.Error.Message, refused.Error.Verdict)
}
