// Package standin holds small fakes of what surrounds the system: the
// key-value service, model engines, plain services and the host list. Each
// keeps its own record of what reached it, so that tests count there.
package standin
