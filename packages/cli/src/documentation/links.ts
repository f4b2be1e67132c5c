import * as fs from "node:fs";
import * as path from "node:path";

const LINK = /\[[^\]]*\]\(([^)\s]+)\)/g;

/** Links of Markdown files below a folder that lead nowhere. */
export function brokenLinks(root: string, files: string[]): string[] {
  const broken: string[] = [];
  for (const file of files) {
    const text = fs.readFileSync(path.join(root, file), "utf8");
    for (const [, target] of text.matchAll(LINK)) {
      if (/^[a-z]+:/.test(target)) continue;
      if (!leadsSomewhere(root, file, target)) {
        broken.push(`${file}: ${target}`);
      }
    }
  }
  return broken;
}

function leadsSomewhere(root: string, file: string, target: string): boolean {
  const [name, anchor] = target.split("#");
  const linked = name ? path.join(path.dirname(file), name) : file;
  const full = path.join(root, linked);
  if (!fs.existsSync(full)) return false;
  if (!anchor) return true;
  const headings = fs
    .readFileSync(full, "utf8")
    .split("\n")
    .filter((line) => line.startsWith("#"))
    .map(anchorOf);
  return headings.includes(anchor);
}

function anchorOf(heading: string): string {
  return heading
    .replace(/^#+\s*/, "")
    .toLowerCase()
    .replace(/[^\w\s-]/g, "")
    .trim()
    .replace(/\s/g, "-");
}

/** Markdown files below a folder, without installed packages. */
export function markdownFiles(root: string, folder = ""): string[] {
  return fs
    .readdirSync(path.join(root, folder), { withFileTypes: true })
    .flatMap((entry) => {
      const name = path.join(folder, entry.name);
      if (entry.name === "node_modules" || entry.name === "dist") return [];
      if (entry.isDirectory()) return markdownFiles(root, name);
      return entry.name.endsWith(".md") ? [name] : [];
    });
}
