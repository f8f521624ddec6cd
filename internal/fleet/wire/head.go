package wire

import (
	"slices"
	"strings"
)

// Head is the start of an answer: the status and the header fields as its endpoint sent them, which no host changes, and
// the endpoint. It is immutable.
type Head struct {
	status    int
	fields    []Field
	endpoint  string
	release   *string
	unchanged bool
}

// headMessage is the encoding of a Head.
type headMessage struct {
	Status   int     `cbor:"1,keyasint"`
	Fields   []Field `cbor:"2,keyasint,omitempty"`
	Endpoint string  `cbor:"3,keyasint,omitempty"`
	Release  *string `cbor:"4,keyasint,omitempty"`
	// Unchanged is not sent by hosts of older builds.
	Unchanged bool `cbor:"5,keyasint,omitempty"`
}

// NewHead returns the head of an endpoint's answer.
func NewHead(status int, fields ...Field) Head {
	return Head{status: status, fields: slices.Clone(fields), unchanged: true}
}

// Status returns the status, which the endpoint chose.
func (h Head) Status() int { return h.status }

// Fields returns a copy of the header fields, in the order of the endpoint.
func (h Head) Fields() []Field { return slices.Clone(h.fields) }

// Field returns the value of the first header field of a name, empty if there is none.
func (h Head) Field(name string) string {
	for _, f := range h.fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Endpoint returns the endpoint that served the request, empty if it is not known.
func (h Head) Endpoint() string { return h.endpoint }

// Release returns the endpoint's release; nil if the sender is of a build that does not have the field.
func (h Head) Release() *string { return h.release }

// Unchanged reports whether the status is certainly the endpoint's own. A host of an older build replaces some statuses by
// 502 without a mark.
func (h Head) Unchanged() bool { return h.unchanged }

// WithEndpoint returns a copy with the endpoint that served the request.
func (h Head) WithEndpoint(id string) Head {
	h.endpoint = id
	return h
}

// WithRelease returns a copy with the endpoint's release.
func (h Head) WithRelease(release string) Head {
	h.release = &release
	return h
}

// MarshalCBOR implements cbor.Marshaler.
func (h Head) MarshalCBOR() ([]byte, error) {
	return Encode(headMessage{Status: h.status, Fields: h.fields, Endpoint: h.endpoint, Release: h.release, Unchanged: h.unchanged})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (h *Head) UnmarshalCBOR(data []byte) error {
	var m headMessage
	if err := Decode(data, &m); err != nil {
		return err
	}
	*h = Head{status: m.Status, fields: m.Fields, endpoint: m.Endpoint, release: m.Release, unchanged: m.Unchanged}
	return nil
}
