package upstream

import "net"

// ReadResponse reads the head of a response from any connection.
func ReadResponse(conn net.Conn, method string) (*Response, error) {
	return readHead(&Conn{Conn: conn}, method, nil)
}

// ScannedHead is what is found of a head.
type ScannedHead struct {
	Defect Defect
	Ended  bool
	End    int // of the head, in bytes
}

// ScanHead checks a head that arrives in pieces.
func ScanHead(pieces ...[]byte) ScannedHead {
	var s headScanner
	end := 0
	for _, piece := range pieces {
		if s.ended {
			break
		}
		valid, err := s.scan(piece)
		if err != nil {
			return ScannedHead{Defect: DefectOf(err), End: end + valid}
		}
		end += valid
	}
	return ScannedHead{Ended: s.ended, End: end}
}
