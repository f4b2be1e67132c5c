import * as fs from "node:fs";

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

/** What a process has used so far. */
export interface ProcessUsage {
  cpuMilliseconds: number;
  residentBytes: number;
}

/** Reads a process's use of processor and memory from the kernel. */
export function processUsage(pid: number): ProcessUsage {
  const text = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name in parentheses may hold spaces; fields count from after it.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    cpuMilliseconds: (ticks * 1_000) / TICKS_PER_SECOND,
    residentBytes: Number(fields[21]) * PAGE_BYTES,
  };
}
