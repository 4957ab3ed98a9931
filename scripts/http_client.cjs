// The part of undici that programs of the platform use. Its main module loads
// `fetch`, caches and cookies, too.
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const buildConnector = require("../node_modules/undici/lib/core/connect.js");

module.exports = { buildConnector, Client };
