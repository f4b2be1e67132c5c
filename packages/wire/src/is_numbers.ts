/** Whether all items of a list are numbers. */
export function isNumbers(list: unknown[]): list is number[] {
  return list.every((one) => typeof one === "number");
}
