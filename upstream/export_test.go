package upstream

import "net"

// ReadResponse reads the head of a response from any connection.
func ReadResponse(conn net.Conn, method string) (*Response, error) {
	return readHead(&Conn{Conn: conn}, method, nil)
}
