// Package client sends requests to cicadapitch.
//
// A Client asks any host which hosts to use, keeps the answer for its time to
// live and connects to the nearest. It sends a request again only where the
// error's kind allows it: what may not be repeated goes out under one token,
// however often it is sent.
package client
