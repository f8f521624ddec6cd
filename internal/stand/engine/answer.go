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

	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
)

// TokenText returns the text of token i of the answer to the request with the given id.
// It is deterministic, so that tests can compare every byte of an answer.
func TokenText(request string, i int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", request, i)
	return fmt.Sprintf("%08x ", h.Sum32())
}

// AnswerText returns the complete answer of n tokens to the request with the given id.
func AnswerText(request string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(request, i))
	}
	return b.String()
}

// waitToken waits until token i is generated. It returns false if ctx or the job ends
// first.
func (j *job) waitToken(ctx context.Context, i int) bool {
	for {
		j.mu.Lock()
		ready, progress := j.readyTokens, j.progress
		j.mu.Unlock()
		if i < ready {
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		case <-j.ctx.Done():
			j.mu.Lock()
			ready = j.readyTokens
			j.mu.Unlock()
			if i >= ready {
				return false
			}
		}
	}
}

// addReaders adds d to the number of clients that read the stream and returns the result.
func (j *job) addReaders(d int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers += d
	return j.readers
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

// sendStream sends the events of the stream, starting with the token numbered from.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, j *job, from int, f Fault) {
	j.addReaders(1)
	defer e.detach(j)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() {
		if fl, ok := w.(http.Flusher); ok {
			fl.Flush()
		}
	}
	for i := from; i < j.record.Tokens; i++ {
		if !j.waitToken(r.Context(), i) {
			return
		}
		if f.CutAfter > 0 && i >= f.CutAfter {
			httpd.CloseConn(w)
			return
		}
		if f.EndAfter > 0 && i >= f.EndAfter {
			return
		}
		if f.SilentAfter > 0 && i >= f.SilentAfter {
			<-r.Context().Done()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.streamEvent(j, i)); err != nil {
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

// streamEvent returns the JSON of the event with token i.
func (e *Engine) streamEvent(j *job, i int) string {
	c := chunk{
		ID: j.record.Stream, Object: "chat.completion.chunk", Model: e.conf.Name,
		Choices: []choice{{Delta: &message{Role: "assistant", Content: TokenText(j.record.Request, i)}}},
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

// detach removes a reader from a stream. A stream without readers is cancelled after
// the resume grace period.
func (e *Engine) detach(j *job) {
	if j.addReaders(-1) > 0 {
		return
	}
	time.AfterFunc(e.conf.ResumeGrace, func() {
		if j.addReaders(0) > 0 {
			return
		}
		e.endJob(j)
	})
}

// endJob removes a job and cancels it if it still runs.
func (e *Engine) endJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, j.record.Stream)
	if j.ctx.Err() == nil {
		j.record.Cancelled = true
	}
	j.cancel()
}

// sendComplete sends the answer in one response once all its tokens are generated.
func (e *Engine) sendComplete(w http.ResponseWriter, r *http.Request, j *job, f Fault) {
	defer e.endJob(j)
	for i := range j.record.Tokens {
		if !j.waitToken(r.Context(), i) {
			return
		}
		if f.CutAfter > 0 && i >= f.CutAfter {
			httpd.CloseConn(w)
			return
		}
	}
	stop := "stop"
	text := AnswerText(j.record.Request, j.record.Tokens)
	httpd.WriteJSON(w, http.StatusOK, chunk{
		ID: j.record.Stream, Object: "chat.completion", Model: e.conf.Name,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, Text: text, Finish: &stop}},
		Usage:   &usage{Prompt: 1, Completion: j.record.Tokens, Total: j.record.Tokens + 1},
	})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	j, ok := e.streams[r.URL.Query().Get("stream")]
	refuse := e.fault.RefuseResume
	if ok {
		j.record.Resumed++
	}
	e.mu.Unlock()
	if err != nil || !ok || refuse || j.unary {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	e.sendStream(w, r, j, from, Fault{})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j, ok := e.streams[r.URL.Query().Get("stream")]
	e.mu.Unlock()
	if ok {
		e.endJob(j)
	}
	w.WriteHeader(http.StatusNoContent)
}
