package splice

import (
	"errors"
	"net/http"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const eventsType = "text/event-stream"

func answerHead(status int, mediaType string) wire.Head {
	return wire.NewHead(status, wire.Field{Name: "content-type", Value: mediaType})
}

// TestAcceptOtherAnswer: only a stream of events continues one, and nothing continues another answer.
func TestAcceptOtherAnswer(t *testing.T) {
	events, text, failure := answerHead(http.StatusOK, eventsType), answerHead(http.StatusOK, "text/plain"), answerHead(http.StatusInternalServerError, eventsType)
	for _, tt := range []struct {
		name      string
		answer    Answer
		accepted  []wire.Head
		rejected  []wire.Head
		resumable bool
	}{
		{"nothing", Answer{}, []wire.Head{events, text, failure}, nil, false},
		{"events", Answer{}.WithHead(events), []wire.Head{events}, []wire.Head{text, failure}, true},
		{"begun elsewhere", NewBegun(), []wire.Head{events}, []wire.Head{text, failure}, true},
		{"text", Answer{}.WithHead(text), nil, []wire.Head{events, text, failure}, false},
		{"failure", Answer{}.WithHead(failure), nil, []wire.Head{events, text, failure}, false},
		{"comment", Answer{}.WithHead(events).WithData([]byte(": x\n\n")), []wire.Head{events}, []wire.Head{text}, true},
		{"event without id", Answer{}.WithHead(events).WithData([]byte("data: x\n\n")), nil, []wire.Head{events, text}, false},
		{"event without id behind one", Answer{}.WithHead(events).WithData([]byte("id: 0\ndata: x\n\ndata: y\n\n")), nil, []wire.Head{events}, false},
		{"event without id before one", Answer{}.WithHead(events).WithData([]byte("data: x\n\n")).WithData([]byte("id: 0\ndata: y\n\n")), []wire.Head{events}, nil, true},
		{"closing event", Answer{}.WithHead(events).WithData([]byte("id: 0\ndata: x\n\ndata: [DONE]\n\n")), []wire.Head{events}, nil, true},
		{"text, then events", Answer{}.WithHead(text).WithHead(events), nil, []wire.Head{events, text}, false},
	} {
		for _, h := range tt.accepted {
			if err := tt.answer.Accept(h); err != nil {
				t.Errorf("%s: %v is rejected: %v", tt.name, h, err)
			}
		}
		for _, h := range tt.rejected {
			if err := tt.answer.Accept(h); !errors.Is(err, ErrOther) {
				t.Errorf("%s: %v: error %v, want ErrOther", tt.name, h, err)
			}
		}
		if got := tt.answer.Resumable(); got != tt.resumable {
			t.Errorf("%s: resumable %v, want %v", tt.name, got, tt.resumable)
		}
	}
}

// TestPartRecordsEvents: a part has the ids of its first and last event and all its bytes.
func TestPartRecordsEvents(t *testing.T) {
	p := Part{}.WithHead(answerHead(http.StatusOK, eventsType))
	if p.Status != http.StatusOK || p.Type != eventsType || p.Events {
		t.Errorf("part of a head is %+v", p)
	}
	p = p.WithData([]byte(": comment\n\n"))
	if p.Events {
		t.Errorf("comment counts as an event with an id: %+v", p)
	}
	const first, second = "id: 3\ndata: id: 9\n\nid:4\r\ndata: x\r\n\r\n", "id: 7\ndata: y\n\n"
	p = p.WithData([]byte(first)).WithData([]byte(second))
	if !p.Events || p.First != 3 || p.Last != 7 || p.Bytes != len(": comment\n\n")+len(first)+len(second) {
		t.Errorf("part is %+v, want events 3 to 7", p)
	}
	if id := stream.FirstID([]byte("data: x\n\n")); id != stream.NoID {
		t.Errorf("first id of an event without one is %d", id)
	}
}
