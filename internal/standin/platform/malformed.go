package platform

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// A malformed response is a regular one with one of its parts changed. Its form is a number
// below MalformedForms, which selects the part and the change.

// change is what is done to a part of a response.
type change int

// The changes of a part.
const (
	endless     change = iota // the part is sent again and again, without its line end
	cutOff                    // the response ends within the part
	doubled                   // the part is sent twice
	interleaved               // the part and the one after it change places
	changes
)

const (
	// partCount is the number of parts of a response, see responseParts.
	partCount = 13
	// framingPart is the header field that states how the body ends, sizePart the size of the
	// first chunk and dataPart the chunk.
	framingPart = 5
	sizePart    = 7
	dataPart    = 8
	// MalformedForms is the number of forms of malformed responses.
	MalformedForms = partCount * int(changes)
	// malformedEvery is how many requests come to one that is answered malformed.
	malformedEvery = 3
	// endlessTime is how long an endless part is sent, unless the connection is closed.
	endlessTime = 5 * time.Second
	// endlessWrite is the number of bytes of one write of an endless part.
	endlessWrite = 64 << 10
)

// Malform lets the replica send malformed responses of a form to some of its requests until
// a time.
func (r *Replica) Malform(form int, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.malformedForm = form % MalformedForms
	r.malformedUntil = until
}

// nextMalformed reports whether the next request gets a malformed response, and its form.
func (r *Replica) nextMalformed() (form int, malformed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.malformedForm, time.Now().Before(r.malformedUntil) && r.served%malformedEvery == 0
}

// respondMalformed sends a malformed response on the connection of a request and closes it.
func (r *Replica) respondMalformed(w http.ResponseWriter, request *http.Request, body []byte, form int) {
	id := request.Header.Get(HeaderRequestID)
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(endlessTime)); err != nil {
		return
	}
	parts := responseParts(id, "by-"+r.ID, wholeBody(request.Method, request.RequestURI, string(body)), strings.HasPrefix(request.URL.Path, streamPath))
	text, repeated := malform(parts, form)
	if _, err := connection.Write([]byte(text)); err != nil || repeated == "" {
		return
	}
	writeEndless(connection, repeated)
}

// writeEndless writes a text again and again until the connection is closed or its deadline
// has passed.
func writeEndless(connection net.Conn, text string) {
	block := []byte(strings.Repeat(text, 1+endlessWrite/len(text)))
	for {
		if _, err := connection.Write(block); err != nil {
			return
		}
	}
}

// responseParts returns the parts of a response with a chunked body.
func responseParts(id, signature, body string, stream bool) []string {
	contentType := "text/plain"
	if stream {
		contentType = typeEvents
	}
	return []string{
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 200 OK\r\n",
		HeaderRequestID + ": " + id + "\r\n",
		HeaderSignature + ": " + signature + "\r\n",
		"Content-Type: " + contentType + "\r\n",
		"Transfer-Encoding: chunked\r\n",
		"\r\n",
		fmt.Sprintf("%x\r\n", len(body)),
		body,
		"\r\n",
		"0\r\n",
		"X-Trailer: 1\r\n",
		"\r\n",
	}
}

// malform returns the text of a malformed response, and the text that is repeated after it
// without an end, if any. Some changes would make other text a regular part of the body: a
// response without its framing header, or a chunk that begins with the line before it, whose
// events are passed on before it ends too early. Such forms are cut off instead.
func malform(parts []string, form int) (text, repeated string) {
	part, kind := form/int(changes), change(form%int(changes))
	before, after := strings.Join(parts[:part], ""), strings.Join(parts[part+1:], "")
	last := part == partCount-1
	otherBody := part == framingPart || part == dataPart
	if kind == interleaved && (last || otherBody) || kind == doubled && part == sizePart {
		kind = cutOff
	}
	switch kind {
	case endless:
		return before, strings.TrimRight(parts[part], "\r\n") + endlessFiller(parts[part])
	case cutOff:
		return before + parts[part][:len(parts[part])/2], ""
	case doubled:
		return before + parts[part] + parts[part] + after, ""
	default:
		return before + parts[part+1] + parts[part] + strings.Join(parts[part+2:], ""), ""
	}
}

// endlessFiller returns what follows a part when it is repeated: the line end of parts that
// may come any number of times, and otherwise none, so that the line has no end.
func endlessFiller(part string) string {
	switch {
	case strings.HasSuffix(part, "\r\n\r\n"): // an interim response
		return "\r\n\r\n"
	case part == "\r\n":
		return "\r\n"
	default:
		return ""
	}
}
