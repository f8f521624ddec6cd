package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got of one attempt.
type answer struct {
	id, address, path string
	status            int
	signature, weight string
	body              string
	// err is the error of the answer, empty if it was complete.
	err string
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call sends a request on a new connection and waits for the whole answer.
func (f *fleet) call(address, method, path, body string, deadline time.Duration, fields map[string]string) answer {
	a := answer{id: newID(), address: address, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		a.err = err.Error()
		return a
	}
	req.Host = hostName
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range fields {
		req.Header.Set(k, v)
	}
	f.record.printf("client sends %s %s %s to %s", a.id, method, path, address)
	resp, err := client.Do(req)
	if err != nil {
		a.err = err.Error()
		f.record.printf("client gets no answer to %s: %s", a.id, a.err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature, a.weight = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Header.Get("Weight-Versions")
	data, err := io.ReadAll(resp.Body)
	a.body = string(data)
	if err != nil {
		a.err = err.Error()
	}
	f.record.printf("client gets %d for %s, signature %q, Weight-Versions %q, complete %v, body %q", a.status, a.id, a.signature, a.weight, err == nil, a.body)
	return a
}

// lookup returns the header of a request for a short streamed answer.
func lookup() map[string]string {
	return map[string]string{"Model": "m", "Token-Counts": "291,80", "Prompt-Prefix": newID() + ":291"}
}
