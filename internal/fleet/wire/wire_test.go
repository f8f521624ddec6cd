package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
)

func frames() []Frame {
	return []Frame{
		{Request: &Request{Role: Relay, ID: "1", Caller: "c", Service: "s", Method: "POST", Path: "/", Fields: []Field{{Name: "a", Value: "b"}}, Body: []byte("x"), TimeLeftMS: 5, EntryRegion: "r", Revision: 3}},
		{Head: &Head{Status: 200, Fields: []Field{{Name: "a", Value: "b"}}}},
		{Data: []byte("token")},
		{End: &End{Ran: "yes"}},
		{FetchParts: &FetchParts{Hashes: []string{"h"}}},
		{Parts: &Parts{Head: []byte("h"), Documents: [][]byte{[]byte("d")}}},
		{KeepAlive: true},
	}
}

func TestFrames(t *testing.T) {
	var buf bytes.Buffer
	for _, f := range frames() {
		if err := Write(&buf, f); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range frames() {
		got, err := Read(&buf, MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if _, err := Read(&buf, MaxFrame); !errors.Is(err, io.EOF) {
		t.Errorf("Read after the last frame: err = %v, want io.EOF", err)
	}
}

func TestBounds(t *testing.T) {
	var buf bytes.Buffer
	if err := Write(&buf, Frame{Data: make([]byte, 100)}); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(bytes.NewReader(buf.Bytes()), 50); err == nil {
		t.Error("Read accepted a frame above the limit")
	}
	if _, err := Read(bytes.NewReader(buf.Bytes()[:40]), MaxFrame); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated frame: err = %v, want io.ErrUnexpectedEOF", err)
	}
}

func FuzzRead(f *testing.F) {
	for _, fr := range frames() {
		var buf bytes.Buffer
		if err := Write(&buf, fr); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		fr, err := Read(bytes.NewReader(data), 1<<16)
		if err != nil {
			return
		}
		if err := Write(io.Discard, fr); err != nil {
			t.Errorf("Write of a frame that Read returned: %v", err)
		}
	})
}

func FuzzPacket(f *testing.F) {
	data, err := Encode(Packet{Kind: Ping, From: "h", Incarnation: 1, Updates: []Update{{Host: "x", State: Dead}}, Loads: []Load{{Endpoint: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var p Packet
		_ = Decode(data, &p)
	})
}
