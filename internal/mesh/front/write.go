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
