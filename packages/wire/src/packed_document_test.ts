import * as ava from "ava";
import * as packedDocument from "./packed_document.ts";

const test = ava.default;

function documentOf(routes: number): { version: number; routes: object[] } {
  return {
    version: 7,
    routes: Array.from({ length: routes }, (_, index) => ({
      name: `route-${index}`,
      host: "assistant.example",
      prefix: `/path-${index}/`,
      timeoutMilliseconds: 8_000,
    })),
  };
}

test("a document comes out as it was", (t) => {
  const document = documentOf(3);
  const packed = packedDocument.packDocument(document);
  const unpacked = packedDocument.unpackDocument(packed)._unsafeUnwrap();
  t.deepEqual(unpacked, document);
});

test("hundreds of routes take an eighth of their plain size or less", (t) => {
  const document = documentOf(580);
  const packed = packedDocument.packDocument(document);
  t.true(packed.byteLength * 8 < JSON.stringify(document).length);
});

test("bytes that are no document are an error", (t) => {
  const bytes = Buffer.from("no deflated bytes");
  t.true(packedDocument.unpackDocument(bytes).isErr());
  const cut = packedDocument.packDocument(documentOf(50)).subarray(0, 100);
  t.true(packedDocument.unpackDocument(cut).isErr());
});

// Guards against a field without a value that comes out as another one: a document
// without accounts then seemed to have some, and all requests needed a key.
test("a field without a value comes out without one", (t) => {
  const document = {
    accounts: undefined,
    list: [{ urgency: undefined }, null],
  };
  const packed = packedDocument.packDocument(document);
  const unpacked = packedDocument.unpackDocument(packed)._unsafeUnwrap();
  t.deepEqual(unpacked, document);
});
