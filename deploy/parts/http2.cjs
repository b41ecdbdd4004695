// Stands for the runtime's HTTP/2, which costs a start 30 ms and which nobody speaks here.
module.exports = { constants: {}, Http2ServerRequest: class Http2ServerRequest {} };
