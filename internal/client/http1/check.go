package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
)

// HeadError reports a response that is none in the protocol. What follows it on its connection has no
// meaning.
type HeadError struct {
	Problem string
	Line    string // the line that is wrong, or empty
}

// Error implements error.
func (e *HeadError) Error() string {
	if e.Line == "" {
		return "malformed response: " + e.Problem
	}
	return fmt.Sprintf("malformed response: %s in %q", e.Problem, e.Line)
}

const (
	// lowestStatus and highestStatus bound the statuses of the protocol.
	lowestStatus  = 100
	highestStatus = 599
	// maxQuoted bounds the bytes of a line that an error quotes.
	maxQuoted = 80
)

// checkHead checks the bytes of the head of a response, which ends with an empty line. The parser of
// the standard library lets some heads pass that are none in the protocol.
func checkHead(head []byte) error {
	first, rest := cutLine(head)
	if problem := statusLineProblem(first); problem != "" {
		return newHeadError(problem, first)
	}
	var lengths, encodings int
	for line, rest := cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		if problem := fieldProblem(line); problem != "" {
			return newHeadError(problem, line)
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	switch {
	case lengths > 1:
		return newHeadError("more than one length", nil)
	case encodings > 0 && lengths > 0:
		return newHeadError("a length beside a transfer encoding", nil)
	case encodings > 0 && bytes.HasPrefix(head, []byte("HTTP/1.0")):
		return newHeadError("a transfer encoding in HTTP/1.0", nil)
	}
	return nil
}

// cutLine returns the first line of a head, without its end, and what follows it.
func cutLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

func newHeadError(problem string, line []byte) error {
	return &HeadError{Problem: problem, Line: string(line[:min(len(line), maxQuoted)])}
}

// statusLineProblem describes what is wrong with a status line. It is empty for a valid one.
func statusLineProblem(line []byte) string {
	const versionLength, statusEnd = len("HTTP/1.x "), len("HTTP/1.x 200")
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[versionLength-2] != '0' && line[versionLength-2] != '1' || line[versionLength-1] != ' ' {
		return "no status line of HTTP/1.0 or HTTP/1.1"
	}
	status := 0
	for _, c := range line[versionLength:statusEnd] {
		if c < '0' || c > '9' {
			return "the status is not three digits"
		}
		status = 10*status + int(c-'0')
	}
	reason := line[statusEnd:]
	switch {
	case len(reason) > 0 && reason[0] != ' ':
		return "the status is not three digits"
	case status < lowestStatus || status > highestStatus:
		return "a status outside 100 to 599"
	case hasControl(string(reason)):
		return "a control byte"
	}
	return ""
}

// fieldProblem describes what is wrong with the line of a field. It is empty for a valid one.
func fieldProblem(line []byte) string {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case len(line) > 0 && (line[0] == ' ' || line[0] == '\t'):
		return "a folded line"
	case !found:
		return "no colon"
	case !isToken(string(name)):
		return "a name that is no token"
	case hasControl(string(value)):
		return "a control byte"
	}
	return ""
}

// isToken reports whether a name consists of the characters that the protocol allows in the name of a
// field.
func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// hasControl reports whether a value has a control byte that may stand in no value of a field.
func hasControl(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// CheckHeaders checks the status and the headers of a response that another node has read. The status
// is 0 if there is no response.
func CheckHeaders(status int, headers []cicadaseam.Header) error {
	if status != 0 && status < lowestStatus || status > highestStatus {
		return &HeadError{Problem: fmt.Sprintf("the status %d", status)}
	}
	for _, h := range headers {
		if err := checkHeader(h.Name, h.Value); err != nil {
			return err
		}
	}
	return nil
}

func checkHeader(name, value string) error {
	switch {
	case !isToken(name):
		return &HeadError{Problem: "a name that is no token", Line: name}
	case hasControl(value):
		return &HeadError{Problem: "a control byte", Line: name}
	}
	return nil
}

// CheckResponse checks a response that the standard library has parsed, as far as that can still be
// seen, for clients that do not read its bytes themselves. Its body must have a length or chunks:
// otherwise one that breaks off may look complete.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < lowestStatus || resp.StatusCode > highestStatus {
		return &HeadError{Problem: "a status outside 100 to 599", Line: resp.Status}
	}
	for name, values := range resp.Header {
		for _, v := range values {
			if err := checkHeader(name, v); err != nil {
				return err
			}
		}
	}
	if IsUnframed(resp) {
		return &HeadError{Problem: "a body without a length or chunks"}
	}
	return nil
}

// CheckTrailer checks the trailer of a response, which is there once the body has been read.
func CheckTrailer(resp *http.Response) error {
	for name, values := range resp.Trailer {
		for _, v := range values {
			if err := checkHeader(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// IsUnframed reports whether the body of a response has neither a length nor chunks.
func IsUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// CheckedTransport returns a RoundTripper that fails where CheckResponse does. Its connection is not
// used again then.
func CheckedTransport(next http.RoundTripper) http.RoundTripper { return checkedTransport{next} }

type checkedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close() // unread, which closes the connection
		return nil, errors.Wrapf(err, "%s %s", req.Method, req.URL.Path)
	}
	return resp, nil
}
