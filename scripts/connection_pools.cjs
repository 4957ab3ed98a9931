// The part of undici that programs of the platform use. Its main module loads
// `fetch`, caches and cookies, too.
const Dispatcher = require(
  "../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const Pool = require("../node_modules/undici/lib/dispatcher/pool.js");
const buildConnector = require("../node_modules/undici/lib/core/connect.js");
const request = require("../node_modules/undici/lib/api/api-request.js");

Dispatcher.prototype.request = request;

module.exports = { buildConnector, Client, Pool };
