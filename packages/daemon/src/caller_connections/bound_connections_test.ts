import * as events from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as ava from "ava";
import * as boundConnections from "./bound_connections.ts";

const test = ava.default;

const MAX_CONNECTIONS = 3;
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** A server with the bound that answers nothing. */
async function serve(
  t: ava.ExecutionContext,
): Promise<{ server: http.Server; connect: () => Promise<net.Socket> }> {
  const server = http.createServer(() => {});
  boundConnections.boundConnections(server, {
    max: MAX_CONNECTIONS,
    takesUpgrades: false,
  });
  server.listen(0, "127.0.0.1");
  await events.EventEmitter.once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const connect = async () => {
    const accepted = events.EventEmitter.once(server, "connection");
    const socket = net.connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.resume();
    t.teardown(() => socket.destroy());
    await accepted;
    return socket;
  };
  return { server, connect };
}

function closed(socket: net.Socket): Promise<unknown> {
  return events.EventEmitter.once(socket, "close");
}

// Guards against silent connections that keep new callers out.
test("a silent connection makes room for a new one, one with a request does not", async (t) => {
  const { server, connect } = await serve(t);
  const busy = await connect();
  const requested = events.EventEmitter.once(server, "request");
  busy.write(REQUEST);
  await requested;
  const silent = await connect();
  const other = await connect();
  const end = closed(silent);
  await connect();
  await end;
  t.false(busy.destroyed);
  t.false(other.destroyed);
});

// Guards against a socket that the HTTP server gives away to nobody, whose errors end the
// process.
test("a request to upgrade is an ordinary one where no upgrades are taken", async (t) => {
  const { server, connect } = await serve(t);
  const socket = await connect();
  const requested = events.EventEmitter.once(server, "request");
  socket.write(
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
  );
  await requested;
  t.pass();
});

// Guards against requests without end on one connection, all of which are under way.
test("a connection with too many requests under way is ended", async (t) => {
  const { connect } = await serve(t);
  const socket = await connect();
  const end = closed(socket);
  socket.write(REQUEST.repeat(100));
  await end;
  t.pass();
});
