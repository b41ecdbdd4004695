// Replaces Node's HTTP/2 module, which the gateway does not use and which adds 30 ms to a start.
module.exports = { constants: {}, Http2ServerRequest: class Http2ServerRequest {} };
