// Package listen serves HTTP on an address and shuts down without dropping a
// request that it has already read.
//
// It bounds what clients take up. A Listener wraps each connection that it accepts (conn): the head of a request
// is held back from net/http until it is whole and there is memory for what it will become, which is counted from
// its bytes, lines and items of lists until the request has ended. net/http tells where the body ends, or, for one in
// chunks, chunkScanner finds it, so that what follows is counted as the next head.
//
// The listeners of a process share a Pool of connections, descriptors and memory. When there is no room, connections
// yield whose clients hold up their requests, or that are idle; if there are none, new connections are closed unread
// and requests are refused before they run.
package listen
