package front

import (
	"bufio"
	"net/http"
	"strconv"
)

// writeReply writes the reply to one request. last announces that the connection closes
// after it.
func writeReply(w *bufio.Writer, p *pendingReply, last bool) error {
	reply := p.reply
	statusText := http.StatusText(reply.Status)
	if statusText == "" {
		statusText = "Status"
	}
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(reply.Status) + " " + statusText + "\r\n") // Flush reports failures
	for _, h := range reply.Headers {
		_, _ = w.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if hasBody(p.method, reply.Status) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(reply.Body)) + "\r\n\r\n")
		_, _ = w.Write(reply.Body)
	} else {
		_, _ = w.WriteString("\r\n")
	}
	return w.Flush()
}

// hasBody reports whether a reply with a status has a body, given the method of its request.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// uncountedReply is the size in bytes up to which a reply is not counted: the bound on connections
// covers it.
const uncountedReply = 8 << 10

// hold counts a reply until it is written.
func (s *Server) hold(p *pendingReply) {
	if size := int64(len(p.reply.Body)); s.replies != nil && size > uncountedReply {
		s.replies.Hold(size)
		p.held = size
	}
}

// releaseReply ends the time in which a reply counts, and drops its body.
func (s *Server) releaseReply(p *pendingReply) {
	if p.held > 0 {
		s.replies.Release(p.held)
	}
	p.reply = nil
}
