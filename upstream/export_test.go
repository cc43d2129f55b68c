package upstream

import "net"

// ReadHead reads the head of a response from any connection.
func ReadHead(conn net.Conn, method string) (*Response, error) {
	return readHead(&Conn{Conn: conn}, method, nil)
}
