package peer

//go:generate go tool -modfile=../tools/go.mod enumer -type=frameKind -output=framekind_enumer.go

// frameKind is the purpose of a frame.
type frameKind uint8

const (
	// requestFrame starts a call to the handler of Name. Number is the timeout
	// in milliseconds, 0 for none, and Credit the bytes of items that may be
	// sent before the first creditFrame.
	requestFrame frameKind = iota + 1
	// itemFrame carries one item of a stream. Number counts the items from 0.
	itemFrame
	// responseFrame ends a call with its response.
	responseFrame
	// failureFrame ends a call with an error.
	failureFrame
	// cancelFrame cancels the context of the handler.
	cancelFrame
	// creditFrame allows the server to send Credit more bytes of items.
	creditFrame
	// heartbeatFrame requests an echoFrame with the same Number.
	heartbeatFrame
	// echoFrame answers a heartbeatFrame.
	echoFrame
)
