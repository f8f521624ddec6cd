package wire

import (
	"bytes"
	"errors"
	"io"
	"math"
	"reflect"
	"testing"
)

func frames() []Frame {
	return []Frame{
		{Request: &Request{Role: Relay, ID: "1", Caller: "c", Service: "s", Method: "POST", Path: "/", Fields: []Field{{Name: "a", Value: "b"}}, Body: []byte("x"), TimeLeftMS: 5, EntryRegion: "r", Revision: 3}},
		{Head: new(NewHead(200, Field{Name: "a", Value: "b"}).WithEndpoint("e").WithRelease("v"))},
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

// TestOlderBuildsReadProofs guards against packets with confirmations that a build which does not
// know their fields can't decode, and against such packets exceeding a datagram.
func TestOlderBuildsReadProofs(t *testing.T) {
	const host = "255.255.255.255:65535"
	p := Packet{Kind: Announce, From: host, Incarnation: math.MaxUint64, Revision: math.MaxUint64, AskProof: math.MaxUint64, Proof: &RulesProof{
		Nonce: math.MaxUint64, Version: math.MaxUint64, AgeMS: math.MaxUint64,
		Unproven: &CutHost{Host: host, Life: math.MaxUint64, Serial: math.MaxUint32, Cut: true},
	}}
	data, err := enc.Marshal(p)
	if err != nil || len(data) > 250 {
		t.Fatalf("packet takes %d bytes, error %v, want at most 250", len(data), err)
	}
	var older struct {
		Kind Kind   `cbor:"1,keyasint"`
		From string `cbor:"3,keyasint"`
	}
	if err := dec.Unmarshal(data, &older); err != nil || older.Kind != Announce || older.From != host {
		t.Errorf("an older build reads %+v, error %v", older, err)
	}
	var same Packet
	if err := dec.Unmarshal(data, &same); err != nil || !reflect.DeepEqual(same, p) {
		t.Errorf("packet reads back as %+v, error %v", same, err)
	}
}

// TestOlderBuildsReadDeadHosts guards against packets with dead hosts that a build without the field
// can't decode.
func TestOlderBuildsReadDeadHosts(t *testing.T) {
	p := Packet{Kind: Ack, From: "h", Incarnation: 1, DeadHosts: []DeadHost{{Info: HostInfo{Host: "x", Region: "r"}, Millicores: 400, DeadMS: 7}}}
	data, err := enc.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var older struct {
		Kind Kind   `cbor:"1,keyasint"`
		From string `cbor:"3,keyasint"`
	}
	if err := dec.Unmarshal(data, &older); err != nil || older.Kind != Ack || older.From != "h" {
		t.Errorf("an older build reads %+v, error %v", older, err)
	}
	var same Packet
	if err := dec.Unmarshal(data, &same); err != nil || !reflect.DeepEqual(same, p) {
		t.Errorf("packet reads back as %+v, error %v", same, err)
	}
}

// TestFrameIsReadWithoutRoom: nothing of a frame is read before there is room for it.
func TestFrameIsReadWithoutRoom(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, Frame{Data: make([]byte, 1000)}); err != nil {
		t.Fatal(err)
	}
	size, full := b.Len()-lengthBytes, errors.New("no room")
	if _, err := ReadReserved(&b, MaxFrame, func(n int) error {
		if n != size || b.Len() != size {
			t.Errorf("room for %d bytes is asked for, %d are left, want %d", n, b.Len(), size)
		}
		return full
	}); !errors.Is(err, full) {
		t.Errorf("got error %v, want %v", err, full)
	}
	if b.Len() != size {
		t.Errorf("%d bytes are left, want %d", b.Len(), size)
	}
}

// TestFieldWithBytesOfNoUTF8IsReceived guards against a frame that the other host can't decode, as a header field has
// bytes that HTTP allows and UTF-8 does not.
func TestFieldWithBytesOfNoUTF8IsReceived(t *testing.T) {
	const value = "caf\xe9 \xff\x80"
	for name, f := range map[string]Frame{
		"answer":  {Head: new(NewHead(200, Field{Name: "X-Odd", Value: value}))},
		"request": {Request: &Request{ID: "r", Path: "/" + value, Fields: []Field{{Name: "X-Odd", Value: value}}}},
	} {
		var b bytes.Buffer
		if err := Write(&b, f); err != nil {
			t.Fatal(err)
		}
		got, err := Read(&b, MaxFrame)
		if err != nil || !reflect.DeepEqual(got, f) {
			t.Errorf("%s: got %+v, error %v, want %+v", name, got, err, f)
		}
	}
}
