// This file reads the chat-completions request as far as routing needs it. The
// body itself goes to the engine as it came: tools and fields that are unknown
// here pass through untouched.

package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"

	"hingewinch.org/hingewinch/state"
)

// StreamEnd is the data of the event that ends a streamed answer.
const StreamEnd = "[DONE]"

// ChatRequest is what routing needs of a chat-completions request.
type ChatRequest struct {
	Model  state.ModelID
	Stream bool
	// CacheKey is the caller's prompt_cache_key, or empty.
	CacheKey string
	// Leading holds the messages up to the first of the user, as the caller
	// wrote them. They are the same in each turn of one chat.
	Leading []byte
}

// Identity returns what stays the same over the turns of one chat.
func (r *ChatRequest) Identity() []byte {
	if r.CacheKey != "" {
		return []byte(r.CacheKey)
	}
	return r.Leading
}

// BadRequestError says what is wrong with a caller's request and how to mend
// it.
type BadRequestError struct {
	Param  string // the field at fault, or empty
	Text   string
	Remedy string
}

// Error formats the error as "text; remedy".
func (e *BadRequestError) Error() string { return e.Text + "; " + e.Remedy }

func badRequest(param, text, remedy string) error {
	return &BadRequestError{Param: param, Text: text, Remedy: remedy}
}

// chatFields are the fields that are read. Names are compared exactly: a
// decoder that took "Model" for "model" could be made to check one model and
// have the engine run another.
type chatFields struct {
	model, stream, cacheKey, messages json.RawMessage
}

func (f *chatFields) slot(name string) *json.RawMessage {
	switch name {
	case "model":
		return &f.model
	case "stream":
		return &f.stream
	case "prompt_cache_key":
		return &f.cacheKey
	case "messages":
		return &f.messages
	}
	return nil
}

// ParseChat reads a chat-completions body. The error is a [*BadRequestError].
func ParseChat(body []byte) (*ChatRequest, error) {
	if !utf8.Valid(body) {
		return nil, badRequest("", "body is not valid UTF-8", "encode the JSON as UTF-8")
	}
	f, err := readFields(body)
	if err != nil {
		return nil, err
	}
	r := &ChatRequest{}
	if err := f.decode(r); err != nil {
		return nil, err
	}
	r.Leading, err = leadingTurns(f.messages)
	return r, err
}

func readFields(body []byte) (*chatFields, error) {
	if !json.Valid(body) {
		return nil, badRequest("", "body is not one JSON value", "send one JSON object and nothing behind it")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, badRequest("", "body is not a JSON object", "send an object with model and messages")
	}
	f := &chatFields{}
	var skipped json.RawMessage
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, badRequest("", fmt.Sprintf("body is not valid JSON: %v", err), "correct the syntax")
		}
		name, _ := t.(string)
		into := f.slot(name)
		if into != nil && *into != nil {
			return nil, badRequest(name, fmt.Sprintf("field %q stands twice", name), "send each field once")
		}
		if into == nil {
			into = &skipped
		}
		if err := dec.Decode(into); err != nil {
			return nil, badRequest(name, fmt.Sprintf("field %q is not valid JSON", name), "correct the syntax")
		}
	}
	return f, nil
}

func (f *chatFields) decode(r *ChatRequest) error {
	if f.model == nil || json.Unmarshal(f.model, &r.Model) != nil || r.Model == "" {
		return badRequest("model", "model is missing or not a string", "name one of the models of GET /v1/models")
	}
	if f.stream != nil && json.Unmarshal(f.stream, &r.Stream) != nil {
		return badRequest("stream", "stream is not a boolean", "send true or false")
	}
	if f.cacheKey != nil && json.Unmarshal(f.cacheKey, &r.CacheKey) != nil {
		return badRequest("prompt_cache_key", "prompt_cache_key is not a string", "send a string or leave it out")
	}
	return nil
}

// leadingTurns returns the messages up to the first one of the user. What
// follows is skipped, so the cost does not grow with the chat.
func leadingTurns(messages json.RawMessage) ([]byte, error) {
	bad := badRequest("messages", "messages is missing or not a list of objects with a role", "send at least one message with role and content")
	dec := json.NewDecoder(bytes.NewReader(messages))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		return nil, bad
	}
	begin := dec.InputOffset()
	n := 0
	for ; dec.More(); n++ {
		var m struct {
			Role string `json:"role"`
		}
		if err := dec.Decode(&m); err != nil || m.Role == "" {
			return nil, bad
		}
		if m.Role == "user" {
			return messages[begin:dec.InputOffset()], nil
		}
	}
	if n == 0 {
		return nil, bad
	}
	return messages[begin:dec.InputOffset()], nil
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// ModelEntry is one model of a ModelList.
type ModelEntry struct {
	ID      state.ModelID `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy string        `json:"owned_by"`
}

// NewModelList returns the list of the given models.
func NewModelList(ids []state.ModelID) ModelList {
	l := ModelList{Object: "list", Data: make([]ModelEntry, len(ids))}
	for i, id := range ids {
		l.Data[i] = ModelEntry{ID: id, Object: "model", OwnedBy: "hingewinch"}
	}
	return l
}

// ErrorBody is an error in the shape of the OpenAI protocol, with the outcome
// added. Outcome is "not-run" or "may-have-run".
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Param     *string         `json:"param"`
	Code      string          `json:"code"`
	Outcome   string          `json:"outcome"`
	RequestID state.RequestID `json:"request_id"`
}

// ErrTooLarge is returned by ReadBounded.
var ErrTooLarge = errors.New("content is larger than the limit")

// ReadBounded reads all of r, at most limit bytes. size is the announced length
// or a negative number.
func ReadBounded(r io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	var buf bytes.Buffer
	if size > 0 {
		buf.Grow(int(size) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, ErrTooLarge
	}
	return buf.Bytes(), nil
}
