import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as prettier from "prettier";
import * as generatedPages from "./generated_pages.ts";
import * as links from "./links.ts";

const ROOT = url.fileURLToPath(new URL("../../../..", import.meta.url));
const write = process.argv.includes("--write");

const problems: string[] = [];
for (const page of generatedPages.generatedPages()) {
  const file = path.join(ROOT, page.path);
  const text = await prettier.format(page.text, { filepath: file });
  if (write) {
    fs.mkdirSync(path.dirname(file), { recursive: true });
    fs.writeFileSync(file, text);
    continue;
  }
  const committed = fs.existsSync(file) ? fs.readFileSync(file, "utf8") : "";
  if (committed !== text) {
    problems.push(`${page.path}: differs from the code; run npm run docs`);
  }
}
for (const broken of links.brokenLinks(ROOT, links.markdownFiles(ROOT))) {
  problems.push(`link that leads nowhere: ${broken}`);
}
for (const problem of problems) process.stderr.write(`${problem}\n`);
process.exitCode = problems.length > 0 ? 1 : 0;
