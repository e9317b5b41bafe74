// This file parses the parts of a chat-completions request that routing needs. The
// body is forwarded to the engine unchanged, including tools and unknown fields.

package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"hingewinch.org/hingewinch/state"
)

// StreamEnd is the data of the event that terminates a streamed response.
const StreamEnd = "[DONE]"

// ChatRequest holds the fields of a chat-completions request that routing uses.
type ChatRequest struct {
	Model state.ModelID
	// CacheKey is the caller's prompt_cache_key, or empty.
	CacheKey string
	// Leading is the raw JSON of the messages up to and including the first user
	// message. It is the same in each turn of a chat.
	Leading []byte
}

// Identity returns a value that identifies the chat: it is the same for all its
// turns.
func (r *ChatRequest) Identity() []byte {
	if r.CacheKey != "" {
		return []byte(r.CacheKey)
	}
	return r.Leading
}

// BadRequestError describes a problem with a caller's request and how to fix it.
type BadRequestError struct {
	Param  string // the invalid field, or empty
	Text   string
	Remedy string
}

// Error formats the error as "text; remedy".
func (e *BadRequestError) Error() string { return e.Text + "; " + e.Remedy }

func badRequest(param, text, remedy string) error {
	return &BadRequestError{Param: param, Text: text, Remedy: remedy}
}

// chatFields holds the fields that are read. Names are matched case-sensitively: a
// decoder that accepted "Model" as "model" could authorize one model while the
// engine runs another.
type chatFields struct {
	model, stream, cacheKey, messages gjson.Result
}

// slot returns where the value of the named field is stored, or nil if the field is
// not read.
func (f *chatFields) slot(name string) *gjson.Result {
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

// ParseChat parses the body of a chat-completions request. Its error is a
// [*BadRequestError]. The result refers to body, which must not be modified while
// the result is in use.
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
	r.Leading, err = leadingTurns(body, f.messages)
	return r, err
}

func readFields(body []byte) (f chatFields, err error) {
	if !gjson.ValidBytes(body) {
		return f, badRequest("", "body is not one JSON value", "send one JSON object and nothing behind it")
	}
	object := gjson.ParseBytes(body)
	if !object.IsObject() {
		return f, badRequest("", "body is not a JSON object", "send an object with model and messages")
	}
	object.ForEach(func(name, value gjson.Result) bool {
		into := f.slot(name.String())
		if into == nil {
			return true
		}
		if into.Exists() {
			err = badRequest(name.String(), fmt.Sprintf("field %q stands twice", name.String()), "send each field once")
			return false
		}
		*into = value
		return true
	})
	return f, err
}

func (f *chatFields) decode(r *ChatRequest) error {
	if f.model.Type != gjson.String || f.model.Str == "" {
		return badRequest("model", "model is missing or not a string", "name one of the models of GET /v1/models")
	}
	if f.stream.Exists() && !f.stream.IsBool() && f.stream.Type != gjson.Null {
		return badRequest("stream", "stream is not a boolean", "send true or false")
	}
	if f.cacheKey.Exists() && f.cacheKey.Type != gjson.String && f.cacheKey.Type != gjson.Null {
		return badRequest("prompt_cache_key", "prompt_cache_key is not a string", "send a string or leave it out")
	}
	r.Model = state.ModelID(f.model.Str)
	r.CacheKey = f.cacheKey.Str
	return nil
}

// leadingTurns returns the messages up to and including the first user message. It
// does not look at the messages after it, so its cost does not grow with the chat.
func leadingTurns(body []byte, messages gjson.Result) ([]byte, error) {
	var first, last gjson.Result
	ok := messages.IsArray()
	messages.ForEach(func(_, m gjson.Result) bool {
		role := m.Get("role")
		ok = ok && m.IsObject() && role.Type == gjson.String && role.Str != ""
		if !first.Exists() {
			first = m
		}
		last = m
		return ok && role.Str != "user"
	})
	if !ok || !first.Exists() {
		return nil, badRequest("messages", "messages is missing or not a list of objects with a role", "send at least one message with role and content")
	}
	return body[first.Index : last.Index+len(last.Raw)], nil
}

// ModelList is the response to GET /v1/models.
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

// NewModelList returns a ModelList with an entry for each ID.
func NewModelList(ids []state.ModelID) ModelList {
	l := ModelList{Object: "list", Data: make([]ModelEntry, len(ids))}
	for i, id := range ids {
		l.Data[i] = ModelEntry{ID: id, Object: "model", OwnedBy: "hingewinch"}
	}
	return l
}

// ErrorBody is an error response of the OpenAI protocol, extended by the request's
// outcome, "not-run" or "may-have-run".
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

// firstBytes is the size of the buffer for content that has announced a size but not arrived yet, in bytes. The memory
// follows what arrives: a sender that announces the limit and sends nothing must not take it.
const firstBytes = 64 << 10

// ErrTooLarge is returned by [ReadBounded] if the content exceeds the limit.
var ErrTooLarge = errors.New("content is larger than the limit")

// ReadBounded reads r to its end, and fails with [ErrTooLarge] if that takes more
// than limit bytes. size is the announced length, or negative if it is unknown.
func ReadBounded(r io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	var buf bytes.Buffer
	if size > 0 {
		buf.Grow(int(min(size, firstBytes)) + bytes.MinRead)
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
