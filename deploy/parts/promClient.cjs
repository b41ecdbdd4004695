// prom-client without push gateway and cluster support, which load TLS and child processes.
const Counter = require('prom-client/lib/counter.js');
const Gauge = require('prom-client/lib/gauge.js');
const Histogram = require('prom-client/lib/histogram.js');
const Registry = require('prom-client/lib/registry.js');

module.exports = { Counter, Gauge, Histogram, Registry };
