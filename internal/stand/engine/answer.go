package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/basis"
)

// Token returns the text of token i of the answer to a request; tests compare
// every byte with it.
func Token(request string, i int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", request, i)
	return fmt.Sprintf("%08x ", h.Sum32())
}

// Text returns the whole answer of n tokens to a request.
func Text(request string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(request, i))
	}
	return b.String()
}

// next waits until token i is ready.
func (j *job) next(ctx context.Context, i int) bool {
	for {
		j.mu.Lock()
		ready, more := j.ready, j.more
		j.mu.Unlock()
		if i < ready {
			return true
		}
		select {
		case <-more:
		case <-ctx.Done():
			return false
		case <-j.ctx.Done():
			j.mu.Lock()
			ready = j.ready
			j.mu.Unlock()
			if i >= ready {
				return false
			}
		}
	}
}

func (j *job) attach(d int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reader += d
	return j.reader
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Text    string   `json:"text,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// stream sends events from token i on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, from int, f Fault) {
	j.attach(1)
	defer e.detach(j)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() {
		if fl, ok := w.(http.Flusher); ok {
			fl.Flush()
		}
	}
	for i := from; i < j.record.Tokens; i++ {
		if !j.next(r.Context(), i) {
			return
		}
		if f.CutAfter > 0 && i >= f.CutAfter {
			basis.Cut(w)
			return
		}
		if f.EndAfter > 0 && i >= f.EndAfter {
			return
		}
		if f.SilentAfter > 0 && i >= f.SilentAfter {
			<-r.Context().Done()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.event(j, i)); err != nil {
			return
		}
		flush()
		e.mu.Lock()
		j.record.Emitted++
		e.mu.Unlock()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	flush()
}

func (e *Engine) event(j *job, i int) string {
	c := chunk{
		ID: j.record.Stream, Object: "chat.completion.chunk", Model: e.conf.Name,
		Choices: []choice{{Delta: &message{Role: "assistant", Content: Token(j.record.Request, i)}}},
	}
	if i == j.record.Tokens-1 {
		stop := "stop"
		c.Choices[0].Finish = &stop
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// detach lets a stream without a reader end after its grace.
func (e *Engine) detach(j *job) {
	if j.attach(-1) > 0 {
		return
	}
	time.AfterFunc(e.conf.Grace, func() {
		if j.attach(0) > 0 {
			return
		}
		e.forget(j)
	})
}

func (e *Engine) forget(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, j.record.Stream)
	if j.ctx.Err() == nil {
		j.record.Cancelled = true
	}
	j.cancel()
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j *job, f Fault) {
	defer e.forget(j)
	for i := range j.record.Tokens {
		if !j.next(r.Context(), i) {
			return
		}
		if f.CutAfter > 0 && i >= f.CutAfter {
			basis.Cut(w)
			return
		}
	}
	stop := "stop"
	text := Text(j.record.Request, j.record.Tokens)
	basis.WriteJSON(w, http.StatusOK, chunk{
		ID: j.record.Stream, Object: "chat.completion", Model: e.conf.Name,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, Text: text, Finish: &stop}},
		Usage:   &usage{Prompt: 1, Completion: j.record.Tokens, Total: j.record.Tokens + 1},
	})
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	j, ok := e.streams[r.URL.Query().Get("stream")]
	forget := e.fault.Forget
	if ok {
		j.record.Resumed++
	}
	e.mu.Unlock()
	if err != nil || !ok || forget || j.whole {
		http.Error(w, "stream is not known", http.StatusNotFound)
		return
	}
	e.stream(w, r, j, from, Fault{})
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j, ok := e.streams[r.URL.Query().Get("stream")]
	e.mu.Unlock()
	if ok {
		e.forget(j)
	}
	w.WriteHeader(http.StatusNoContent)
}
